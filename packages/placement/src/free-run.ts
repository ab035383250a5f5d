import type {Weights} from '@bergamotgauge/model';
import type {Demand} from './demand.js';
import {acceleratorsOf, longestFreeRun, type PassState, type RackState} from './pass-state.js';
import type {Score, ScoredRun} from './types.js';
import {forEachRun, homeUse, isRunAdmitted, isRunFree, keepsToItsPart, type Run} from './windows.js';

const DEFAULT_WEIGHTS: Weights = {completionTime: 0.5, fragmentation: 0.5};

/** Marks the free cells that lie in a free block of the largest guaranteed shape. */
const computeWhole = (rack: RackState, largestShape: number, takenFrom: number, takenTo: number): Uint8Array => {
	const whole = new Uint8Array(rack.fleetRack.cells);
	for (const start of rack.fleetRack.starts(largestShape)) {
		const end = start + largestShape;
		let isFree = takenTo <= start || takenFrom >= end;
		for (let cell = start; isFree && cell < end; cell += 1) {
			isFree = rack.occupant[cell] === -1;
		}

		if (isFree) {
			whole.fill(1, start, end);
		}
	}

	return whole;
};

export const wholeCells = (rack: RackState, largestShape: number): Uint8Array => {
	rack.whole ??= computeWhole(rack, largestShape, 0, 0);
	return rack.whole;
};

const sum = (cells: Uint8Array): number => {
	let total = 0;
	for (const cell of cells) {
		total += cell;
	}

	return total;
};

const scoredRun = (state: PassState, run: Run, demand: Demand): ScoredRun => {
	const {rack, start} = run;
	const {accelerators} = demand.job;
	const {largestShape} = state.fleet;
	const whole = wholeCells(rack, largestShape);
	let wholeAccelerators = 0;
	for (let cell = start; cell < start + accelerators; cell += 1) {
		wholeAccelerators += whole[cell]!;
	}

	const brokenAccelerators =
		wholeAccelerators === 0
			? 0
			: sum(whole) - sum(computeWhole(rack, largestShape, start, start + accelerators)) - wholeAccelerators;
	const worker = rack.fleetRack.workerOfCell[start]!;
	const firstCell = rack.fleetRack.firstCell[worker]!;
	const lastCell = firstCell + rack.fleetRack.workers[worker]!.accelerators;
	let remainingOnWorker = 0;
	let latestEndMs = 0;
	for (let cell = firstCell; cell < lastCell; cell += 1) {
		const occupant = rack.occupant[cell]!;
		if (occupant !== -1) {
			latestEndMs = Math.max(latestEndMs, state.held[occupant]!.endMs);
		} else if (cell < start || cell >= start + accelerators) {
			remainingOnWorker += 1;
		}
	}

	const {ownHome, borrowed} = homeUse(state, run, demand)!;
	const endMs = state.view.nowMs + demand.estimate.expectedSeconds * 1000;
	return {
		accelerators,
		brokenAccelerators,
		wholeAccelerators,
		remainingOnWorker,
		endDistanceSeconds: latestEndMs === 0 ? 0 : Math.abs(endMs - latestEndMs) / 1000,
		borrowedAccelerators: borrowed,
		ownHomeShare: ownHome === -1 ? 0 : accelerators / acceleratorsOf(state.homes[ownHome]!.blocks),
		isCostlyToEvict: demand.jobClass.checkpointSeconds === 0,
		expectedSeconds: demand.estimate.expectedSeconds,
	};
};

/**
End that is compared with reservations. Work that can checkpoint may use the expected end, because the reservation can evict it when it overruns.
*/
export const holdEndMs = ({view}: PassState, {isPreemptible, jobClass, estimate}: Demand): number => {
	const canLeave = isPreemptible && jobClass.checkpointSeconds > 0;
	return view.nowMs + (canLeave ? estimate.expectedSeconds : estimate.pessimisticSeconds) * 1000;
};

/**
Finds the free run with the lowest score, and the first of equals.
*/
export const bestFreeRun = (state: PassState, demand: Demand, scores: readonly Score[]): Run | undefined => {
	const {accelerators} = demand.job;
	const endMs = holdEndMs(state, demand);
	let best: {run: Run; cost: number} | undefined;
	forEachRun(
		state,
		demand,
		(rack) => longestFreeRun(rack) >= accelerators,
		(run) => {
			if (
				!isRunFree(state, run, demand, endMs) ||
				!isRunAdmitted(state, run, demand) ||
				!homeUse(state, run, demand) ||
				!keepsToItsPart(state, run, demand)
			) {
				return;
			}

			const weights = state.fleet.pools.get(run.rack.fleetRack.rack.pool)?.weights ?? DEFAULT_WEIGHTS;
			const scored = scoredRun(state, run, demand);
			let cost = 0;
			for (const {weight, score} of scores) {
				cost += weight(weights) * score(scored);
			}

			if (cost < (best?.cost ?? Number.POSITIVE_INFINITY)) {
				best = {run, cost};
			}
		},
	);
	return best?.run;
};
