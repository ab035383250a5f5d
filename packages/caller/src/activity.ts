import type {RequestHandler} from 'express';

/** Counts requests in progress, from the request head to the end of the response. */
export type Activity = Readonly<{
	count: () => number;
	handler: RequestHandler;
}>;

/**
Creates the counter of requests in progress.

@example
```ts
app.use('/v1/services', activity.handler, createServiceRouter(service, dispatcher));
```
*/
export const createActivity = (isReady: () => boolean): Activity => {
	let inProgress = 0;
	return {
		count: () => inProgress,
		handler(_request, response, next) {
			inProgress += 1;
			response.once('close', () => {
				inProgress -= 1;
			});
			if (!isReady()) {
				// Makes the caller reconnect, so that its next request can reach another instance.
				response.set('connection', 'close');
			}

			next();
		},
	};
};
