import type {RequestHandler} from 'express';

/** Counts requests in progress, from the request head to the end of the response. */
export type RequestCounter = Readonly<{
	count: () => number;
	handler: RequestHandler;
}>;

/**
Creates the counter of requests in progress.

@example
```ts
const requestCounter = createRequestCounter(() => status.isReady);
app.use('/v1/services', requestCounter.handler, createServiceRouter(service, dispatcher));
```
*/
export const createRequestCounter = (isReady: () => boolean): RequestCounter => {
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
