import type {Bundle, Declarations} from '@bergamotgauge/model';

/** A fault in the declarations. */
export type DeclarationFault = Readonly<{
	file: string;
	line: number;
	message: string;
}>;

export type LoadResult =
	Readonly<{ok: true; declarations: Declarations}> | Readonly<{ok: false; faults: readonly DeclarationFault[]}>;

export type LoadOptions = Readonly<{
	/** Configuration to which the declarations would be applied. */
	inForce?: Declarations;
	/** Partner of the operator that would apply them. */
	partner?: string;
}>;

export type ChangeKind = 'added' | 'changed' | 'removed';

/** A field of an item that differs; a side without the field has no value. */
export type FieldChange = Readonly<{path: string; before?: unknown; after?: unknown}>;

/** One difference between two sets of declarations. */
export type DeclarationChange = Readonly<{
	kind: ChangeKind;
	/** Collection, as in `customers`. */
	collection: keyof Declarations;
	name: string;
	/** Set for a changed item. */
	fields?: readonly FieldChange[];
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
	/** Instance that gave the status. */
	answeredBy: string;
	generation: number;
	instances: readonly InstanceStatus[];
	racks: ReadonlyArray<Readonly<{rack: string; accelerators: number; used: number; placements: number}>>;
	/** Waiting and running jobs of the operator's partner. */
	queuedJobs: number;
}>;

export type BundleReply = Readonly<{
	/** The configuration in force, without the tokens of other partners. */
	bundle?: Bundle;
	/** Partner of the operator; `*` for the bootstrap token. */
	partner: string;
}>;
