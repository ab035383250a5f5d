import {MAX_GANG_ACCELERATORS, type Declarations} from '@bergamotgauge/model';
import {z} from 'zod';
import {MAX_POSITION, MAX_WEIGHT, ROUNDING_TOLERANCE} from './constants.js';

const name = z
	.string()
	.regex(/^[a-z0-9][a-z0-9\-.]{0,62}$/v, 'must be lower-case letters, digits, "-" or ".", at most 63');
const labelKey = z
	.string()
	.regex(
		/^[A-Za-z0-9][\w\-.\/]{0,62}$/v,
		'a label key must be letters, digits, "-", "_", "." or "/", and at most 63 characters',
	);
const labelValue = z
	.string()
	.max(255)
	.regex(/^\P{Cc}*$/v, 'a label value must not contain control characters');
const labelMap = z.record(labelKey, labelValue);
const labels = labelMap.default({});
const positiveInteger = z.int().min(1);

const selectorExpression = z
	.strictObject({
		key: labelKey,
		operator: z.enum(['In', 'NotIn', 'Exists', 'DoesNotExist']),
		values: z.array(labelValue).max(64).optional(),
	})
	.refine(
		({operator, values}) => (operator === 'In' || operator === 'NotIn') === (values !== undefined && values.length > 0),
		{path: ['values'], error: 'In and NotIn need values; Exists and DoesNotExist take none'},
	);

const selector = z
	.strictObject({matchLabels: labelMap.optional(), matchExpressions: z.array(selectorExpression).max(32).optional()})
	.default({});

const customer = z.strictObject({
	name,
	partner: name,
	weight: z.number().positive().max(MAX_WEIGHT).default(1),
	quota: z.strictObject({
		accelerators: z.int().min(0),
		queuedJobs: z.int().min(0).default(1000),
		concurrentRequests: positiveInteger.default(64),
		queuedRequests: z.int().min(0).default(256),
	}),
	labels,
});

const guarantee = z.strictObject({
	name,
	customer: name,
	count: positiveInteger,
	accelerators: positiveInteger.max(64),
	workerSelector: selector,
});

const jobClass = z.strictObject({
	name,
	partner: name.optional(),
	urgency: z.enum(['urgent', 'normal', 'batch']),
	preemptible: z.boolean(),
	checkpointSeconds: z.number().min(0).default(0),
	retryRule: z.enum(['idempotent', 'at-most-once']),
	defaultDeadlineSeconds: z.number().positive(),
	maxAttempts: positiveInteger.default(3),
});

const objectiveWeight = z.number().min(0).max(MAX_WEIGHT);

const shares = z
	.array(z.strictObject({partner: name, share: z.number().min(0).max(1)}))
	.min(1)
	.max(64)
	.refine(
		(items) => new Set(items.map(({partner}) => partner)).size === items.length,
		'a partner must not have more than one share',
	)
	.refine(
		(items) => items.reduce((sum, {share}) => sum + share, 0) <= 1 + ROUNDING_TOLERANCE,
		'the shares must not add up to more than 1',
	);

const poolTerms = {
	weights: z
		.strictObject({completionTime: objectiveWeight, fragmentation: objectiveWeight})
		.refine(({completionTime, fragmentation}) => completionTime + fragmentation > 0, 'one weight must be above 0'),
	shares,
};

const poolDocument = z.strictObject({name, partner: name.optional(), ...poolTerms});

// `agreedBy` and `proposals` are computed by the instance; a request may repeat the values that it read, which are ignored.
const pool = z
	.strictObject({name, ...poolTerms, agreedBy: z.unknown().optional(), proposals: z.unknown().optional()})
	.transform(({name: poolName, weights, shares: poolShares}) => ({name: poolName, weights, shares: poolShares}));

const placementRule = z.strictObject({name, partner: name, workSelector: selector, workerSelector: selector});

const workerSize = {
	cores: z.number().positive(),
	memoryGigabytes: z.number().positive(),
	accelerators: z.int().min(0).max(MAX_GANG_ACCELERATORS),
	guards: z.boolean().default(true),
	labels,
};

const workerIdentity = {name, address: z.url({protocol: /^https?$/v}).optional(), labels};

const position = z.int().min(0).max(MAX_POSITION);

const rackFields = {name, partner: name.optional(), pool: name, availabilityZone: name};

const rackDocument = z.strictObject({
	...rackFields,
	workerDefaults: z.strictObject(workerSize),
	workers: z
		.array(z.strictObject({...workerIdentity, position: position.optional()}))
		.min(1)
		.max(MAX_GANG_ACCELERATORS),
});

const rack = z.strictObject({
	...rackFields,
	workers: z
		.array(z.strictObject({...workerSize, ...workerIdentity, position, rack: name, availabilityZone: name}))
		.min(1)
		.max(MAX_GANG_ACCELERATORS),
});

const service = z.strictObject({
	name,
	partner: name,
	endpointSelector: selector,
	slots: positiveInteger,
	connections: positiveInteger,
	defaultClass: name,
	classes: z.array(name).max(64).default([]),
});

const token = z.strictObject({
	name,
	sha256: z.string().regex(/^[0-9a-f]{64}$/v, 'must be the hex SHA-256 of the token'),
	role: z.enum(['caller', 'operator']),
	partner: name,
	customer: name.optional(),
});

/** Schema of each document kind, and the collection to which documents of the kind are added. */
export const DOCUMENT_KINDS = {
	Customer: {collection: 'customers', schema: customer},
	Guarantee: {collection: 'guarantees', schema: guarantee},
	JobClass: {collection: 'jobClasses', schema: jobClass},
	Pool: {collection: 'pools', schema: poolDocument},
	PlacementRule: {collection: 'placementRules', schema: placementRule},
	Rack: {collection: 'racks', schema: rackDocument},
	Service: {collection: 'services', schema: service},
	Token: {collection: 'tokens', schema: token},
} as const satisfies Record<string, {collection: keyof Declarations; schema: z.ZodType}>;

export type DocumentKind = keyof typeof DOCUMENT_KINDS;

export type RackDocument = z.infer<typeof rackDocument>;

export type PoolDocument = z.infer<typeof poolDocument>;

/** Schema of the declarations in an apply request, where the worker defaults of a rack are expanded and each pool has one entry. */
export const DECLARATIONS = z.strictObject({
	customers: z.array(customer),
	guarantees: z.array(guarantee),
	jobClasses: z.array(jobClass),
	pools: z.array(pool),
	placementRules: z.array(placementRule),
	racks: z.array(rack),
	services: z.array(service),
	tokens: z.array(token),
});
