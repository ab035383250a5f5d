import type {Bundle, Declarations} from '@bergamotgauge/model';

/** A validation fault in the declarations, with its location. */
export type DeclarationFault = Readonly<{
	file: string;
	line: number;
	message: string;
}>;

export type LoadResult =
	Readonly<{ok: true; declarations: Declarations}> | Readonly<{ok: false; faults: readonly DeclarationFault[]}>;

export type LoadOptions = Readonly<{
	/** Configuration in force, to which the declarations would be applied. */
	inForce?: Declarations;
	/** Partner of the operator that would apply them. */
	partner?: string;
}>;

export type ChangeKind = 'added' | 'changed' | 'removed';

/** A field whose value differs between two versions of an item; `before` or `after` is unset where the field does not exist. */
export type FieldChange = Readonly<{path: string; before?: unknown; after?: unknown}>;

/** One difference between two sets of declarations. */
export type DeclarationChange = Readonly<{
	kind: ChangeKind;
	/** Name of the collection, such as `customers`. */
	collection: keyof Declarations;
	name: string;
	/** Set for a changed item. */
	fields?: readonly FieldChange[];
}>;

export type ApplyRequest = Readonly<{
	/** Generation of the configuration on which the change is based. */
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
	/** Id of the instance that returned the status. */
	answeredBy: string;
	generation: number;
	instances: readonly InstanceStatus[];
	racks: ReadonlyArray<Readonly<{rack: string; accelerators: number; used: number; placements: number}>>;
	/** Number of waiting and running jobs of the operator's partner. */
	queuedJobs: number;
}>;

export type BundleResponse = Readonly<{
	/** The configuration in force, without the tokens of other partners. */
	bundle?: Bundle;
	/** Partner of the operator, or `*` for the bootstrap token. */
	partner: string;
}>;
