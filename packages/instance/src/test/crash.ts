import {sleep} from '@bergamotgauge/lifecycle';
import {type RandomGenerator, uniformIntDistribution} from 'pure-rand';
import type {Gate} from './world.js';

export type CrashMoment =
	/** The call has no effect. */
	| 'before'
	/** The call takes effect and its answer is lost. */
	| 'after';

export type CrashGate = Readonly<{
	gate: Gate;
	hasCrashed: () => boolean;
	/** Names of the calls so far. */
	calls: readonly string[];
}>;

/** A gate through which the process dies at its n-th call; no later call has an effect. */
export const createCrashGate = (crashAt: number, moment: CrashMoment): CrashGate => {
	const calls: string[] = [];
	let isDead = false;
	return {
		calls,
		hasCrashed: () => isDead,
		async gate(name, call) {
			if (isDead) {
				return new Promise<never>(() => {});
			}

			calls.push(name);
			if (calls.length !== crashAt) {
				return call();
			}

			isDead = true;
			if (moment === 'after') {
				await call();
			}

			return new Promise<never>(() => {});
		},
	};
};

/** A gate that holds the n-th call and all later ones for `holdMs`, as a stopped and continued process does. */
export const createFreezeGate = (freezeAt: number, holdMs: number): CrashGate => {
	const calls: string[] = [];
	let resumed: Promise<void> | undefined;
	return {
		calls,
		hasCrashed: () => resumed !== undefined,
		async gate(name, call) {
			calls.push(name);
			if (calls.length === freezeAt) {
				resumed = sleep(holdMs);
			}

			await resumed;
			return call();
		},
	};
};

/** A gate that delays each call and each answer by up to `maxMs`. */
export const createDelayGate = (random: RandomGenerator, maxMs: number): Gate => {
	let generator = random;
	const pause = async () => {
		const [delayMs, next] = uniformIntDistribution(0, maxMs, generator);
		generator = next;
		await sleep(delayMs);
	};

	return async (_name, call) => {
		await pause();
		const result = await call();
		await pause();
		return result;
	};
};
