/** Condition on which one call to a worker is sent. */
export type SendCheck = Readonly<{
	/** Whether the call may be sent; read when it is about to be. */
	maySend: () => boolean;
	/** Whether the call was withdrawn: the condition did not hold when it was read. */
	isWithdrawn: () => boolean;
}>;

/**
Creates the check of one call. A withdrawn call fails as an unreachable worker does, but says nothing about the worker.

@example
```ts
const check = createSendCheck(term.isValid);
await port.stop(order, {signal, maySend: check.maySend});
```
*/
export const createSendCheck = (holds: () => boolean): SendCheck => {
	let isWithdrawn = false;
	return {
		maySend() {
			isWithdrawn = !holds();
			return !isWithdrawn;
		},
		isWithdrawn: () => isWithdrawn,
	};
};
