/**
Creates a function that lets other tasks run once the caller has held the processor for `limitMs`. Answers work that grows with what is stored, such as a takeover, which would keep the renewal of the leader lease waiting.

@example
```ts
const takeTurn = createTurns(20);
for (const item of items) {
	apply(item);
	await takeTurn();
}
```
*/
export const createTurns = (limitMs: number): (() => Promise<void>) => {
	let sinceMs = performance.now();
	return async () => {
		if (performance.now() - sinceMs >= limitMs) {
			await new Promise((resolve) => {
				setImmediate(resolve);
			});
			sinceMs = performance.now();
		}
	};
};
