import {BUNDLE_KEY, ServiceError, type AccessToken, type Bundle, type Declarations} from '@bergamotgauge/model';
import {
	diffDeclarations,
	EMPTY_DECLARATIONS,
	ownDeclarations,
	prepareDeclarations,
	requireCurrentToken,
	threeWayDiff,
	type ApplyRequest,
} from '@bergamotgauge/operator';
import {BASE_LOOKUP_PEERS, KEPT_GENERATIONS} from './constants.js';
import {bundleOf, type Context} from './context.js';

/** Accepts configuration changes. */
export type Configuration = Readonly<{
	/** Stores new declarations as the next generation. */
	apply: (operator: AccessToken, request: ApplyRequest) => Promise<Bundle>;
	/** A generation that was in force on this instance, or undefined when it is no longer kept. */
	generation: (generation: number) => Bundle | undefined;
}>;

const declarationsOf = ({generation: _generation, ...declarations}: Bundle): Declarations => declarations;

const newerBundle = (a: Bundle | undefined, b: Bundle | undefined): Bundle | undefined =>
	(b?.generation ?? 0) > (a?.generation ?? 0) ? b : a;

/**
Creates the service that accepts configuration changes.

@example
```ts
const configuration = createConfiguration(context);
const bundle = await configuration.apply(operator, {basedOn: 7, declarations});
```

`apply` throws `conflict` with a three-way difference when the change is based on another generation than the one in force, and `store-unavailable` with verdict `may-have-run` when the outcome of the write is unknown. Repeating an accepted change with the same `basedOn` returns its generation again.
*/
export const createConfiguration = (context: Context): Configuration => {
	const retained = new Map<number, Bundle>();

	const retainGeneration = () => {
		const bundle = bundleOf(context.replica);
		if (bundle && !retained.has(bundle.generation)) {
			retained.set(bundle.generation, bundle);
			for (const generation of [...retained.keys()].toSorted((a, b) => a - b).slice(0, -KEPT_GENERATIONS)) {
				retained.delete(generation);
			}
		}
	};

	const findBase = async (generation: number): Promise<Declarations | undefined> => {
		if (generation === 0) {
			return EMPTY_DECLARATIONS;
		}

		const own = retained.get(generation);
		if (own) {
			return declarationsOf(own);
		}

		const alive = context.membership.members().filter(({health}) => health === 'alive');
		for (const {id} of alive.slice(0, BASE_LOOKUP_PEERS)) {
			try {
				const bundle = (await context.membership.link(id)?.call('config.generation', {generation})) as Bundle | null;
				if (bundle) {
					return declarationsOf(bundle);
				}
			} catch (error) {
				context.log.debug('base-not-read', {peer: id, error: String(error)});
			}
		}

		return undefined;
	};

	/** Builds the conflict error; an operator sees only the differences in the declarations of its own partner. */
	const conflict = async (
		current: Bundle | undefined,
		{partner}: AccessToken,
		request: ApplyRequest,
	): Promise<ServiceError> => {
		const generation = current?.generation ?? 0;
		const theirs = ownDeclarations(current ?? EMPTY_DECLARATIONS, partner);
		const mine = ownDeclarations(request.declarations, partner);
		const base = await findBase(request.basedOn);
		const message = `the change is based on generation ${request.basedOn}, but generation ${generation} is in force`;
		return new ServiceError(message, {
			code: 'conflict',
			verdict: 'not-run',
			details: {
				generation,
				basedOn: request.basedOn,
				changes: diffDeclarations(theirs, mine),
				// Old bases are dropped; without the base only the two sides can be compared.
				...(base && {differences: threeWayDiff(ownDeclarations(base, partner), theirs, mine)}),
			},
		});
	};

	const assertNoLaterGeneration = (generation: number) => {
		const known = Math.max(0, ...context.membership.members().map(({heartbeat}) => heartbeat?.generation ?? 0));
		if (known > generation) {
			// The store's entry was removed or is older; a write now would store different content under an existing generation.
			throw new ServiceError(`generation ${known} is in force on other instances but not yet on this one`, {
				code: 'store-unavailable',
				verdict: 'not-run',
				retryAfterMs: 1000,
			});
		}
	};

	/** Whether this is a retry of the request that produced the generation in force, sent again because its response was lost. */
	const isRepeat = (current: Bundle, operator: AccessToken, {basedOn, declarations}: ApplyRequest): boolean => {
		if (current.generation !== basedOn + 1) {
			return false;
		}

		try {
			const prepared = prepareDeclarations(basedOn === 0 ? undefined : current, operator, declarations);
			return diffDeclarations(current, prepared).length === 0;
		} catch {
			return false;
		}
	};

	const apply: Configuration['apply'] = async (operator, request) => {
		const entry = await context.store.get(BUNDLE_KEY);
		const current = newerBundle(entry.value as Bundle | undefined, bundleOf(context.replica));
		if (current && isRepeat(current, operator, request)) {
			return current;
		}

		requireCurrentToken(current, operator);
		if ((current?.generation ?? 0) !== request.basedOn) {
			throw await conflict(current, operator, request);
		}

		assertNoLaterGeneration(request.basedOn);
		const declarations = prepareDeclarations(current, operator, request.declarations);
		const bundle: Bundle = {...declarations, generation: request.basedOn + 1};
		const result = await context.store.put(BUNDLE_KEY, bundle, entry.revision);
		if (result.outcome === 'conflict') {
			const winner = newerBundle(result.current.value as Bundle | undefined, current);
			// The store may have carried out an earlier attempt of the same change late.
			if (winner && isRepeat(winner, operator, request)) {
				return winner;
			}

			throw await conflict(winner, operator, request);
		}

		if (result.outcome === 'unknown') {
			throw new ServiceError(
				`it is not known whether generation ${bundle.generation} was accepted; repeat the apply with the same base`,
				{
					code: 'store-unavailable',
					verdict: 'may-have-run',
					details: {generation: bundle.generation, basedOn: request.basedOn},
				},
			);
		}

		context.publish({key: BUNDLE_KEY, revision: result.revision, value: bundle});
		context.log.info('configuration-applied', {generation: bundle.generation, operator: operator.name});
		return bundle;
	};

	context.replica.events.on('changed', retainGeneration);
	return {apply, generation: (generation) => retained.get(generation)};
};
