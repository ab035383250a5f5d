import {MAX_MOVING_ACCELERATORS, MIN_RUN_BEFORE_EVICTION_SECONDS, MOVE_GAIN_FACTOR} from './constants.js';
import {graceMs, isSafeToEvict, lostAcceleratorSeconds, occupantsOf} from './eviction.js';
import {freeBlockCellsOf} from './free-run.js';
import type {HeldPlacement, PassState, RackState} from './pass-state.js';
import type {EvictDecision} from './types.js';

/** Finds the free fragments: runs of free accelerators within one worker that lie outside all free blocks of the largest guaranteed shape. */
const fragmentsOf = (state: PassState): Array<{rack: RackState; first: number; length: number}> => {
	const fragments: Array<{rack: RackState; first: number; length: number}> = [];
	for (const rack of state.usableRacks) {
		const freeBlockCells = freeBlockCellsOf(rack, state.fleet.largestShape);
		const {workerOfCell} = rack.fleetRack;
		let last: {rack: RackState; first: number; length: number} | undefined;
		for (const [cell, occupant] of rack.occupant.entries()) {
			const worker = workerOfCell[cell]!;
			const isFragment =
				occupant === -1 &&
				freeBlockCells[cell] === 0 &&
				rack.reservation[cell] === -1 &&
				rack.isUsable[worker]! &&
				!rack.isOnProbation[worker]!;
			if (!isFragment) {
				last = undefined;
			} else if (last && workerOfCell[last.first] === worker) {
				last.length += 1;
			} else {
				last = {rack, first: cell, length: 1};
				fragments.push(last);
			}
		}
	}

	return fragments;
};

const isMovable = (state: PassState, held: HeldPlacement): boolean =>
	!held.isNew &&
	!held.isEvicting &&
	held.isBorrowed &&
	held.accelerators <= 8 &&
	(held.jobClass?.checkpointSeconds ?? 0) > 0 &&
	isSafeToEvict(held, false) &&
	state.view.nowMs - held.placement.placedAtMs >= MIN_RUN_BEFORE_EVICTION_SECONDS * 1000;

/** Jobs whose move to other accelerators frees a block; `net` is the gain less the cost, in accelerator-seconds. */
type Move = Readonly<{victims: readonly HeldPlacement[]; net: number; rack: string}>;

/** Whether the jobs fit into the fragments outside the block, by best-fit decreasing: the largest job first, each into the smallest fragment that holds it. */
const fitIntoFragments = (
	victims: readonly HeldPlacement[],
	fragments: ReadonlyArray<Readonly<{rack: RackState; first: number; length: number}>>,
	{rack, start, end}: Readonly<{rack: RackState; start: number; end: number}>,
): boolean => {
	const lengths = fragments
		.filter((fragment) => fragment.rack !== rack || fragment.first >= end || fragment.first + fragment.length <= start)
		.map(({length}) => length);
	return victims
		.toSorted((a, b) => b.accelerators - a.accelerators)
		.every(({accelerators}) => {
			let best = -1;
			for (const [index, length] of lengths.entries()) {
				if (length >= accelerators && (best === -1 || length < lengths[best]!)) {
					best = index;
				}
			}

			if (best !== -1) {
				lengths[best]! -= accelerators;
			}

			return best !== -1;
		});
};

const moveOf = (
	state: PassState,
	{rack, start}: Readonly<{rack: RackState; start: number}>,
	fragments: ReturnType<typeof fragmentsOf>,
): Move | undefined => {
	const {largestShape} = state.fleet;
	const end = start + largestShape;
	const freeBlockCells = freeBlockCellsOf(rack, largestShape);
	let freeBlockAccelerators = 0;
	for (let cell = start; cell < end; cell += 1) {
		if (rack.reservation[cell] !== -1 || !rack.isUsable[rack.fleetRack.workerOfCell[cell]!]!) {
			return undefined;
		}

		freeBlockAccelerators += freeBlockCells[cell]!;
	}

	const victims = [...occupantsOf({rack, start}, largestShape)].map((index) => state.held[index]!);
	if (victims.length === 0 || !victims.every((held) => isMovable(state, held))) {
		return undefined;
	}

	const moved = victims.reduce((sum, {accelerators}) => sum + accelerators, 0);
	const weight = state.fleet.pools.get(rack.fleetRack.rack.pool)?.weights.fragmentation ?? 0.5;
	const remainingSeconds = Math.min(...victims.map(({endMs}) => (endMs - state.view.nowMs) / 1000));
	const gain = (largestShape - freeBlockAccelerators) * remainingSeconds * weight;
	const cost = victims.reduce((sum, held) => sum + lostAcceleratorSeconds(state, held, false), 0);
	return moved <= MAX_MOVING_ACCELERATORS &&
		gain >= cost * MOVE_GAIN_FACTOR &&
		fitIntoFragments(victims, fragments, {rack, start, end})
		? {victims, net: gain - cost, rack: rack.fleetRack.rack.name}
		: undefined;
};

/**
Defragments: evicts jobs by checkpoint from the block of the largest guaranteed shape whose freeing gains the most, when they fit into free fragments elsewhere. It frees one block at a time and none while other evictions are in progress, so that the moved jobs are placed again before the next block is chosen.
*/
export const planMoves = (state: PassState, evicted: ReadonlySet<string>): readonly EvictDecision[] => {
	if (state.fleet.largestShape === 1 || evicted.size > 0 || state.held.some(({isEvicting}) => isEvicting)) {
		return [];
	}

	const fragments = fragmentsOf(state);
	let best: Move | undefined;
	for (const rack of state.usableRacks) {
		for (const start of rack.fleetRack.starts(state.fleet.largestShape)) {
			const move = moveOf(state, {rack, start}, fragments);
			if (move && move.net > (best?.net ?? 0)) {
				best = move;
			}
		}
	}

	const {rack = '', victims = []} = best ?? {};
	return victims.map((held) => ({
		kind: 'evict',
		rack,
		job: held.placement.job,
		graceMs: graceMs(held, false),
		reason: `evicted for defragmentation: gives rack ${rack} a free block of ${state.fleet.largestShape} accelerators`,
	}));
};
