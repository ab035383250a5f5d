/** Workers that a part keeps over planning passes, since other work was stopped for it there. */
export type HeldWorkers = Readonly<{
	/** One for each member; none after the reservation was given up. */
	workerIds: readonly string[];
	/** Parts that were evicted for the part so far, also under earlier reservations. */
	evictions: number;
	/** Work that these evictions have lost, in core-milliseconds. */
	lostWorkCoreMs: number;
}>;

/** What pending parts hold, by part. */
export type HeldByPart = ReadonlyMap<string, HeldWorkers>;

/** Why a reservation was given up. */
export type ReleaseReason =
	| 'worker-gone'
	| 'worker-drains'
	| 'zone-evacuated'
	/** The worker accepts no orders, has refused one, or is not approved any more. */
	| 'worker-unusable'
	| 'worker-suspected'
	/** The workers are taken by work that may not be evicted for the part. */
	| 'cannot-complete'
	/** The part is not pending any more. */
	| 'started'
	| 'ended';

export type Release = Readonly<{partId: string; reason: ReleaseReason}>;
