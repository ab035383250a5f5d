import {sleep} from '@bergamotgauge/lifecycle';
import {type RandomGenerator, uniformIntDistribution} from 'pure-rand';
import type {CallInterceptor} from './test-cluster.js';

export type CrashTiming =
	/** The call has no effect. */
	| 'before'
	/** The call takes effect and its response is lost. */
	| 'after';

export type FaultInjector = Readonly<{
	intercept: CallInterceptor;
	hasCrashed: () => boolean;
	/** Names of the calls so far. */
	calls: readonly string[];
}>;

/** Simulates a process that crashes at its n-th call; no later call has an effect. */
export const createCrashInjector = (crashAt: number, timing: CrashTiming): FaultInjector => {
	const calls: string[] = [];
	let isCrashed = false;
	return {
		calls,
		hasCrashed: () => isCrashed,
		async intercept(name, call) {
			if (isCrashed) {
				return new Promise<never>(() => {});
			}

			calls.push(name);
			if (calls.length !== crashAt) {
				return call();
			}

			isCrashed = true;
			if (timing === 'after') {
				await call();
			}

			return new Promise<never>(() => {});
		},
	};
};

/** Simulates a process that is suspended at its n-th call and resumed after `freezeMs`: delays that call and all later ones until then. */
export const createFreezeInjector = (freezeAt: number, freezeMs: number): FaultInjector => {
	const calls: string[] = [];
	let resumed: Promise<void> | undefined;
	return {
		calls,
		hasCrashed: () => resumed !== undefined,
		async intercept(name, call) {
			calls.push(name);
			if (calls.length === freezeAt) {
				resumed = sleep(freezeMs);
			}

			await resumed;
			return call();
		},
	};
};

/** Delays each call and each response by up to `maxMs`. */
export const createDelayInterceptor = (random: RandomGenerator, maxMs: number): CallInterceptor => {
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
