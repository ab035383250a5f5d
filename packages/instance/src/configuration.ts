import {BUNDLE_KEY, ServiceError, type AccessToken, type Bundle} from '@bergamotgauge/model';
import {diffDeclarations, EMPTY_DECLARATIONS, type ApplyRequest} from '@bergamotgauge/operator';
import {checkGuarantees} from '@bergamotgauge/placement';
import type {Context} from './context.js';

const conflict = (current: Bundle | undefined, request: ApplyRequest): ServiceError =>
	new ServiceError(
		`the change is based on generation ${request.basedOn}, but generation ${current?.generation ?? 0} is in force`,
		{
			code: 'conflict',
			verdict: 'not-run',
			details: {
				generation: current?.generation ?? 0,
				changes: diffDeclarations(current ?? EMPTY_DECLARATIONS, request.declarations),
			},
		},
	);

/**
Stores new declarations as the next generation.

@throws {ServiceError} `conflict` when another generation is in force than the change is based on.
*/
export const applyDeclarations = async (
	context: Context,
	operator: AccessToken,
	request: ApplyRequest,
): Promise<Bundle> => {
	checkGuarantees(request.declarations);
	const entry = await context.store.get(BUNDLE_KEY);
	const current = entry.value as Bundle | undefined;
	if ((current?.generation ?? 0) !== request.basedOn) {
		throw conflict(current, request);
	}

	const bundle: Bundle = {...request.declarations, generation: request.basedOn + 1};
	const result = await context.store.put(BUNDLE_KEY, bundle, entry.revision);
	if (result.outcome === 'conflict') {
		throw conflict(result.current.value as Bundle | undefined, request);
	}

	if (result.outcome === 'unknown') {
		throw new ServiceError('the effect of the write is not known; read the generation before repeating it', {
			code: 'store-unavailable',
			verdict: 'may-have-run',
		});
	}

	context.publish({key: BUNDLE_KEY, revision: result.revision, value: bundle});
	context.log.info('configuration-applied', {generation: bundle.generation, operator: operator.name});
	return bundle;
};
