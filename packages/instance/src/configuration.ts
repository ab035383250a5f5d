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
import {BASE_PEERS, KEPT_GENERATIONS} from './constants.js';
import {bundleOf, type Context} from './context.js';

/** Accepts configuration changes. */
export type Configuration = Readonly<{
	/** Stores new declarations as the next generation. */
	apply: (operator: AccessToken, request: ApplyRequest) => Promise<Bundle>;
	/** A generation that this instance had in force, as long as it is kept. */
	generation: (generation: number) => Bundle | undefined;
}>;

const declarationsOf = ({generation: _generation, ...declarations}: Bundle): Declarations => declarations;

const later = (a: Bundle | undefined, b: Bundle | undefined): Bundle | undefined =>
	(b?.generation ?? 0) > (a?.generation ?? 0) ? b : a;

/**
Creates the acceptance of configuration changes.

@example
```ts
const configuration = createConfiguration(context);
const bundle = await configuration.apply(operator, {basedOn: 7, declarations});
```

`apply` throws `conflict` with a three-way difference when another generation is in force than the change is based on, and `store-unavailable` with verdict `may-have-run` when the effect of the write stays unknown. Repeating an accepted change with the same `basedOn` gives its generation again.
*/
export const createConfiguration = (context: Context): Configuration => {
	const kept = new Map<number, Bundle>();

	const keep = () => {
		const bundle = bundleOf(context.replica);
		if (bundle && !kept.has(bundle.generation)) {
			kept.set(bundle.generation, bundle);
			for (const generation of [...kept.keys()].toSorted((a, b) => a - b).slice(0, -KEPT_GENERATIONS)) {
				kept.delete(generation);
			}
		}
	};

	const findBase = async (generation: number): Promise<Declarations | undefined> => {
		if (generation === 0) {
			return EMPTY_DECLARATIONS;
		}

		const own = kept.get(generation);
		if (own) {
			return declarationsOf(own);
		}

		const alive = context.membership.members().filter(({health}) => health === 'alive');
		for (const {id} of alive.slice(0, BASE_PEERS)) {
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

	/** An operator sees only the differences in its own partner's declarations. */
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
				// The base is not kept for ever; without it only the two sides can be compared.
				...(base && {differences: threeWayDiff(ownDeclarations(base, partner), theirs, mine)}),
			},
		});
	};

	const assertNoLaterGeneration = (generation: number) => {
		const known = Math.max(0, ...context.membership.members().map(({heartbeat}) => heartbeat?.generation ?? 0));
		if (known > generation) {
			// The store's entry was removed or is older; writing now would give one generation two contents.
			throw new ServiceError(`generation ${known} is in force on other instances and has not arrived here`, {
				code: 'store-unavailable',
				verdict: 'not-run',
				retryAfterMs: 1000,
			});
		}
	};

	/** The request that made the generation in force, sent again because its answer was lost. */
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
		const current = later(entry.value as Bundle | undefined, bundleOf(context.replica));
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
			throw await conflict(later(result.current.value as Bundle | undefined, current), operator, request);
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

	context.replica.events.on('changed', keep);
	return {apply, generation: (generation) => kept.get(generation)};
};
