/** Tracks how old the knowledge in a replica of stored records may be. */
export type ReplicaAge = Readonly<{
	/** Records that the replica has all changes made before `atMs`, the start of a read and not its response. */
	recordSync: (atMs: number) => void;
	/** Time within which changes may be missing from the replica, in milliseconds; infinite before the first read. */
	ageMs: () => number;
}>;

/**
Creates the age of a replica that has not been read yet.

@example
```ts
const age = createReplicaAge(clocks.latestNow);
await runKeyWatch({store, prefix: 'jobs/', onSuccess: age.recordSync, ...options});
const isCurrent = age.ageMs() < 2000;
```
*/
export const createReplicaAge = (latestNow: () => number): ReplicaAge => {
	let syncedMs = Number.NEGATIVE_INFINITY;
	return {
		recordSync(atMs) {
			syncedMs = Math.max(syncedMs, atMs);
		},
		ageMs: () => latestNow() - syncedMs,
	};
};
