import {ServiceError, type AccessToken, type Declarations} from '@bergamotgauge/model';
import {requireValid} from './check-declarations.js';
import {EVERY_PARTNER} from './constants.js';
import {EMPTY_DECLARATIONS} from './diff.js';
import {mergePartner} from './merge-partner.js';
import {namedPartners, withPartner} from './partners.js';

const refuse = (message: string): ServiceError => new ServiceError(message, {code: 'bad-request', verdict: 'not-run'});

/** The first bundle may name several partners; items without a partner then have no owner. */
const withOnlyPartner = (declarations: Declarations): Declarations => {
	const partners = namedPartners(declarations);
	if (partners.length === 1) {
		return withPartner(declarations, partners[0]!);
	}

	const withoutPartner = [...declarations.racks, ...declarations.jobClasses].find(({partner}) => partner === undefined);
	if (withoutPartner) {
		throw refuse(`${withoutPartner.name}: partner is not set; set it to one of ${partners.join(', ')}`);
	}

	return declarations;
};

/** Without an operator token a partner could never change its declarations again. */
const requireOperatorTokens = ({tokens}: Declarations, partners: readonly string[]): void => {
	const missing = partners.find(
		(partner) => !tokens.some((token) => token.role === 'operator' && token.partner === partner),
	);
	if (missing !== undefined) {
		throw refuse(`the declarations hold no operator token of partner ${missing}; nobody could apply for it any more`);
	}
};

/**
Refuses the bootstrap token when a bundle is in the store. An instance that has not read the first bundle yet still lets the token pass.

@throws {ServiceError} `unauthenticated`.
*/
export const requireCurrentToken = (current: Declarations | undefined, {partner}: AccessToken): void => {
	if (current && partner === EVERY_PARTNER) {
		throw new ServiceError('the token is not known', {code: 'unauthenticated', verdict: 'not-run'});
	}
};

/**
Gives the declarations that an operator's request leads to, checked as a whole.

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

	const declarations = withOnlyPartner(requested);
	const next = mergePartner(EMPTY_DECLARATIONS, declarations, EVERY_PARTNER);
	requireValid(next);
	requireOperatorTokens(next, namedPartners(next));
	return next;
};
