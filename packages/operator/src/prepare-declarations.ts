import {ServiceError, type AccessToken, type Declarations} from '@bergamotgauge/model';
import {requireValid} from './check-declarations.js';
import {EVERY_PARTNER} from './constants.js';
import {EMPTY_DECLARATIONS} from './diff.js';
import {mergePartner} from './merge-partner.js';
import {namedPartners, withPartner} from './partners.js';

const badRequestError = (message: string): ServiceError =>
	new ServiceError(message, {code: 'bad-request', verdict: 'not-run'});

/** Sets the partner of items without one when the first bundle names a single partner; with several, an item without a partner would have no owner and is refused. */
const withDefaultPartner = (declarations: Declarations): Declarations => {
	const partners = namedPartners(declarations);
	if (partners.length === 1) {
		return withPartner(declarations, partners[0]!);
	}

	const itemWithoutPartner = [...declarations.racks, ...declarations.jobClasses].find(
		({partner}) => partner === undefined,
	);
	if (itemWithoutPartner) {
		throw badRequestError(`${itemWithoutPartner.name}: partner is not set; set it to one of ${partners.join(', ')}`);
	}

	return declarations;
};

/** Requires an operator token for each partner; without one, a partner could never change its declarations again. */
const requireOperatorTokens = ({tokens}: Declarations, partners: readonly string[]): void => {
	const partnerWithoutOperator = partners.find(
		(partner) => !tokens.some((token) => token.role === 'operator' && token.partner === partner),
	);
	if (partnerWithoutOperator !== undefined) {
		throw badRequestError(
			`the declarations hold no operator token of partner ${partnerWithoutOperator}; without one, its declarations could never be changed again`,
		);
	}
};

/**
Refuses the bootstrap token once a bundle is in the store. The check is needed because an instance that has not read the first bundle yet still authenticates the token.

@throws {ServiceError} `unauthenticated`.
*/
export const requireCurrentToken = (current: Declarations | undefined, {partner}: AccessToken): void => {
	if (current && partner === EVERY_PARTNER) {
		throw new ServiceError('the token is not known', {code: 'unauthenticated', verdict: 'not-run'});
	}
};

/**
Returns the complete, validated declarations that result from an operator's request.

@example
```ts
const next = prepareDeclarations(bundle, operator, request.declarations);
```

@throws {ServiceError} `bad-request`, `impossible`, or `forbidden` when the request changes another partner's item.
*/
export const prepareDeclarations = (
	current: Declarations | undefined,
	operator: AccessToken,
	requested: Declarations,
): Declarations => {
	requireCurrentToken(current, operator);
	if (operator.partner !== EVERY_PARTNER) {
		const next = mergePartner(current ?? EMPTY_DECLARATIONS, requested, operator.partner);
		requireValid(next);
		requireOperatorTokens(next, [operator.partner]);
		return next;
	}

	const declarations = withDefaultPartner(requested);
	const next = mergePartner(EMPTY_DECLARATIONS, declarations, EVERY_PARTNER);
	requireValid(next);
	requireOperatorTokens(next, namedPartners(next));
	return next;
};
