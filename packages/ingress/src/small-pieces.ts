import {SMALL_PIECES, SMALL_PIECES_MEMORY_MS} from './constants.js';

/** Decides which bodies in many small pieces are read. `Body` identifies one of them. */
export type SmallPieces<Body> = Readonly<{
	/** Whether a body in so many small pieces is still read. */
	mayGoOn: (body: Body, pieces: number) => boolean;
	/** Whether a body was refused lately. */
	isCrowded: () => boolean;
	/** Notes that the body is no longer read. */
	remove: (body: Body) => void;
}>;

type SmallPiecesOptions = Readonly<{
	/** Bodies that are read at the same time. */
	max: number;
	/** Time without pieces after which a body leaves its place to another one. */
	stallMs: number;
	now: () => number;
}>;

/**
Bounds how many bodies in many small pieces are read at the same time: each piece takes some microseconds, whatever its size. While bodies are refused, one counts as such after fewer pieces.

@example
```ts
const smallPieces = createSmallPieces<Holding>({max: 8, stallMs: 1000, now: () => performance.now()});
const isRead = smallPieces.mayGoOn(holding, 8192);
```
*/
export const createSmallPieces = <Body>({max, stallMs, now}: SmallPiecesOptions): SmallPieces<Body> => {
	/** Time of the last pieces of each body that has a place. */
	const progressMs = new Map<Body, number>();
	let crowdedUntilMs = 0;

	const findStalled = (): Body | undefined => {
		const stalledBeforeMs = now() - stallMs;
		return [...progressMs].find(([, atMs]) => atMs <= stalledBeforeMs)?.[0];
	};

	const isCrowded = () => now() < crowdedUntilMs;

	return {
		isCrowded,
		mayGoOn(body, pieces) {
			if (pieces < SMALL_PIECES && !isCrowded()) {
				return true;
			}

			if (!progressMs.has(body) && progressMs.size >= max) {
				const stalled = findStalled();
				if (stalled === undefined) {
					crowdedUntilMs = now() + SMALL_PIECES_MEMORY_MS;
					return false;
				}

				progressMs.delete(stalled);
			}

			progressMs.set(body, now());
			return true;
		},
		remove(body) {
			progressMs.delete(body);
		},
	};
};
