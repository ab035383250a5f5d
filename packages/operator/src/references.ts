import {matchesSelector, type Declarations} from '@bergamotgauge/model';
import type {LocatedDocument} from './load.js';
import type {DeclarationFault} from './types.js';

type Check = (value: never, declarations: Declarations) => readonly string[];

const missing = (what: string, name: string, declared: ReadonlyArray<Readonly<{name: string}>>): readonly string[] =>
	declared.some((item) => item.name === name) ? [] : [`${what} "${name}" is not declared`];

const CHECKS: Readonly<Record<string, Check>> = {
	Guarantee(guarantee: Declarations['guarantees'][number], declarations: Declarations) {
		const isMatched = declarations.racks.some((rack) =>
			rack.workers.some((worker) => matchesSelector(guarantee.workerSelector, worker.labels)),
		);
		return [
			...missing('customer', guarantee.customer, declarations.customers),
			...(isMatched ? [] : ['workerSelector matches no declared worker']),
		];
	},
	Rack: (rack: Readonly<{pool: string}>, declarations: Declarations) => missing('pool', rack.pool, declarations.pools),
	Service: (service: Declarations['services'][number], declarations: Declarations) =>
		[service.defaultClass, ...service.classes].flatMap((name) => missing('job class', name, declarations.jobClasses)),
	Token(token: Declarations['tokens'][number], declarations: Declarations) {
		if (token.role === 'operator') {
			return [];
		}

		return token.customer === undefined
			? ['a caller token needs a customer']
			: missing('customer', token.customer, declarations.customers);
	},
	PlacementRule(rule: Declarations['placementRules'][number], declarations: Declarations) {
		const isMatched = declarations.racks.some((rack) =>
			rack.workers.some((worker) => matchesSelector(rule.workerSelector, worker.labels)),
		);
		return isMatched ? [] : ['workerSelector matches no declared worker'];
	},
};

/** Checks that names used in documents are declared and that selectors of workers match one. */
export const checkReferences = (
	documents: readonly LocatedDocument[],
	declarations: Declarations,
): readonly DeclarationFault[] =>
	documents.flatMap(({kind, value, file, line}) =>
		(CHECKS[kind]?.(value as never, declarations) ?? []).map((message) => ({
			file,
			line,
			message: `${kind} "${value.name}": ${message}`,
		})),
	);
