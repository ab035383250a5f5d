import type {Bundle, Declarations} from '@bergamotgauge/model';

/** A fault in the declarations. */
export type DeclarationFault = Readonly<{
	file: string;
	line: number;
	message: string;
}>;

export type LoadResult =
	Readonly<{ok: true; declarations: Declarations}> | Readonly<{ok: false; faults: readonly DeclarationFault[]}>;

export type ChangeKind = 'added' | 'changed' | 'removed';

/** One difference between two sets of declarations. */
export type DeclarationChange = Readonly<{
	kind: ChangeKind;
	/** Collection, as in `customers`. */
	collection: keyof Declarations;
	name: string;
}>;

export type ApplyRequest = Readonly<{
	/** Generation that the operator's change starts from. */
	basedOn: number;
	declarations: Declarations;
}>;

export type InstanceStatus = Readonly<{
	id: string;
	availabilityZone: string;
	state: string;
	health: string;
	generation: number;
	revision: number;
}>;

export type Status = Readonly<{
	generation: number;
	instances: readonly InstanceStatus[];
	racks: ReadonlyArray<Readonly<{rack: string; accelerators: number; used: number; placements: number}>>;
	queuedJobs: number;
}>;

export type BundleReply = Readonly<{bundle: Bundle | undefined}>;
