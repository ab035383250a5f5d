import {
	BUNDLE_KEY,
	ServiceError,
	STORE_VALUE_LIMIT_BYTES,
	STORE_VALUE_MARGIN_BYTES,
	type AccessToken,
	type Bundle,
	type Declarations,
} from '@bergamotgauge/model';
import {encodeValue} from '@bergamotgauge/platform';
import {
	diffDeclarations,
	EMPTY_DECLARATIONS,
	ownDeclarations,
	prepareDeclarations,
	requireCurrentToken,
	type ApplyRequest,
} from '@bergamotgauge/operator';
import type {Context} from './context.js';

/** Differences between the operator's declarations in force and the requested ones. */
const changesOf = (current: Declarations, operator: AccessToken, request: ApplyRequest) =>
	diffDeclarations(ownDeclarations(current, operator.partner), ownDeclarations(request.declarations, operator.partner));

const conflict = (current: Bundle | undefined, operator: AccessToken, request: ApplyRequest): ServiceError =>
	new ServiceError(
		`the change is based on generation ${request.basedOn}, but generation ${current?.generation ?? 0} is in force`,
		{
			code: 'conflict',
			verdict: 'not-run',
			details: {
				generation: current?.generation ?? 0,
				changes: changesOf(current ?? EMPTY_DECLARATIONS, operator, request),
			},
		},
	);

const requireStorable = (bundle: Bundle): void => {
	const bytes = encodeValue('', bundle).length;
	const limit = STORE_VALUE_LIMIT_BYTES - STORE_VALUE_MARGIN_BYTES;
	if (bytes > limit) {
		throw new ServiceError(`the configuration has ${bytes} bytes; the store takes at most ${limit}`, {
			code: 'too-large',
			verdict: 'not-run',
		});
	}
};

/**
Stores new declarations as the next generation.

@throws {ServiceError} `conflict` when another generation is in force than the change is based on.
*/
export const applyDeclarations = async (
	context: Context,
	operator: AccessToken,
	request: ApplyRequest,
): Promise<Bundle> => {
	const entry = await context.store.get(BUNDLE_KEY);
	const current = entry.value as Bundle | undefined;
	requireCurrentToken(current, operator);
	if ((current?.generation ?? 0) !== request.basedOn) {
		throw conflict(current, operator, request);
	}

	const declarations = prepareDeclarations(current, operator, request.declarations);
	const bundle: Bundle = {...declarations, generation: request.basedOn + 1};
	requireStorable(bundle);
	const result = await context.store.put(BUNDLE_KEY, bundle, entry.revision);
	if (result.outcome === 'conflict') {
		throw conflict(result.current.value as Bundle | undefined, operator, request);
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
