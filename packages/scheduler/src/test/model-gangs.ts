import type {RunEnd} from '@bergamotgauge/jobs';

/** How a gang acts on one of its runs. */
export type GangMember = Readonly<{
	/** Called when all members of the gang run under the same number. */
	begin: () => void;
	end: (how: RunEnd) => void;
}>;

/** Simulated gangs, across workers: the members wait for each other, and end together. */
export type ModelGangs = Readonly<{
	/** Adds a run. Returns a function to call when it has ended. */
	join: (unit: string, run: number, member: GangMember) => (how: RunEnd) => void;
}>;

type GangRun = {readonly members: Map<string, GangMember>; hasBegun: boolean};

/** Units that do not belong to a gang begin at once. */
export const NO_GANGS: ModelGangs = {
	join(_unit, _run, member) {
		member.begin();
		return () => {
			// Nothing else ends with the run.
		};
	},
};

/** Creates the gangs: `unitsOf` lists the units of a unit's gang, and a member that has waited for the others as long as given ends `alone`. */
export const createModelGangs = (unitsOf: (unit: string) => readonly string[], maxWaitMs: number): ModelGangs => {
	const gangRuns = new Map<string, GangRun>();
	return {
		join(unit, run, member) {
			const units = unitsOf(unit);
			const key = `${units.join(',')} ${run}`;
			const gangRun = gangRuns.get(key) ?? {members: new Map<string, GangMember>(), hasBegun: false};
			gangRuns.set(key, gangRun);
			gangRun.members.set(unit, member);
			const timer = setTimeout(() => {
				if (!gangRun.hasBegun) {
					member.end('alone');
				}
			}, maxWaitMs);
			if (units.every((other) => gangRun.members.has(other))) {
				gangRun.hasBegun = true;
				for (const {begin} of gangRun.members.values()) {
					begin();
				}
			}

			return (how) => {
				clearTimeout(timer);
				gangRun.members.delete(unit);
				if (gangRun.hasBegun) {
					for (const other of gangRun.members.values()) {
						other.end(how === 'done' ? 'done' : 'broken');
					}
				}
			};
		},
	};
};
