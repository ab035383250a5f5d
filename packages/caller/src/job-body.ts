import {findDataFault, ServiceError, type JobSpecification} from '@bergamotgauge/model';
import {z} from 'zod';

const labels = z.record(z.string().min(1).max(63), z.string().max(255));

const selector = z.strictObject({
	matchLabels: labels.optional(),
	matchExpressions: z
		.array(
			z.strictObject({
				key: z.string().min(1).max(63),
				operator: z.enum(['In', 'NotIn', 'Exists', 'DoesNotExist']),
				values: z.array(z.string().max(255)).max(64).optional(),
			}),
		)
		.max(32)
		.optional(),
});

const jobBody = z.strictObject({
	jobClass: z.string().min(1).max(63),
	labels: labels.default({}),
	accelerators: z.int().min(1).max(100_000),
	coresPerAccelerator: z.number().min(0).max(10_000).default(1),
	memoryGigabytesPerAccelerator: z.number().min(0).max(100_000).default(1),
	declaredSeconds: z
		.number()
		.positive()
		.max(30 * 24 * 3600),
	workerSelector: selector.default({}),
	payload: z.json().default(null),
});

/**
Validates the body of a job submission.

@throws {ServiceError} `bad-request`, naming each invalid field and why it is invalid.
*/
export const parseJobBody = (body: unknown): JobSpecification => {
	const dataFault = findDataFault(body);
	if (dataFault) {
		throw new ServiceError(`${dataFault.path.join('.')}: ${dataFault.message}`, {
			code: 'bad-request',
			verdict: 'not-run',
		});
	}

	const result = jobBody.safeParse(body);
	if (!result.success) {
		const faults = result.error.issues.map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`);
		throw new ServiceError(faults.join('; '), {code: 'bad-request', verdict: 'not-run'});
	}

	return result.data;
};
