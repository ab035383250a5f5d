import type {Declarations} from '@bergamotgauge/model';
import {z} from 'zod';

const name = z
	.string()
	.regex(/^[a-z0-9][a-z0-9\-.]{0,62}$/v, 'must be lower-case letters, digits, "-" or ".", at most 63');
const labels = z.record(z.string().min(1).max(63), z.string().max(255)).default({});
const positiveInteger = z.int().min(1);

const selector = z
	.strictObject({
		matchLabels: z.record(z.string(), z.string()).optional(),
		matchExpressions: z
			.array(
				z.strictObject({
					key: z.string().min(1),
					operator: z.enum(['In', 'NotIn', 'Exists', 'DoesNotExist']),
					values: z.array(z.string()).optional(),
				}),
			)
			.optional(),
	})
	.default({});

const customer = z.strictObject({
	name,
	partner: name,
	weight: z.number().positive().default(1),
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
	urgency: z.enum(['urgent', 'normal', 'batch']),
	preemptible: z.boolean(),
	checkpointSeconds: z.number().min(0).default(0),
	retryRule: z.enum(['idempotent', 'at-most-once']),
	defaultDeadlineSeconds: z.number().positive(),
	maxAttempts: positiveInteger.default(3),
});

const pool = z.strictObject({
	name,
	weights: z.strictObject({completionTime: z.number().min(0), fragmentation: z.number().min(0)}),
	shares: z.array(z.strictObject({partner: name, share: z.number().min(0).max(1)})).min(1),
});

const placementRule = z.strictObject({name, partner: name, workSelector: selector, workerSelector: selector});

const workerSize = {
	cores: z.number().positive(),
	memoryGigabytes: z.number().positive(),
	accelerators: z.int().min(0).max(64),
	guards: z.boolean().default(true),
	labels,
};

const rack = z.strictObject({
	name,
	pool: name,
	availabilityZone: name,
	workerDefaults: z.strictObject(workerSize),
	workers: z
		.array(
			z.strictObject({
				name,
				position: z.int().min(0).optional(),
				address: z.url().optional(),
				labels,
			}),
		)
		.min(1),
});

const service = z.strictObject({
	name,
	partner: name,
	endpointSelector: selector,
	slots: positiveInteger,
	connections: positiveInteger,
	defaultClass: name,
	classes: z.array(name).default([]),
});

const token = z.strictObject({
	name,
	sha256: z.string().regex(/^[0-9a-f]{64}$/v, 'must be the hex SHA-256 of the token'),
	role: z.enum(['caller', 'operator']),
	partner: name,
	customer: name.optional(),
});

/** Schemas by the `kind` of a document, with the collection that a document of the kind goes to. */
export const DOCUMENT_KINDS = {
	Customer: {collection: 'customers', schema: customer},
	Guarantee: {collection: 'guarantees', schema: guarantee},
	JobClass: {collection: 'jobClasses', schema: jobClass},
	Pool: {collection: 'pools', schema: pool},
	PlacementRule: {collection: 'placementRules', schema: placementRule},
	Rack: {collection: 'racks', schema: rack},
	Service: {collection: 'services', schema: service},
	Token: {collection: 'tokens', schema: token},
} as const satisfies Record<string, {collection: keyof Declarations; schema: z.ZodType}>;

export type DocumentKind = keyof typeof DOCUMENT_KINDS;

export type RackDocument = z.infer<typeof rack>;
