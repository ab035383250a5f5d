import type {RequestHandler} from 'express';

/** Counts requests from their head to the end of their answer. */
export type Activity = Readonly<{
	count: () => number;
	handler: RequestHandler;
}>;

/**
Creates the count of requests in progress.

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
				// The caller's next request then goes to another instance.
				response.set('connection', 'close');
			}

			next();
		},
	};
};
