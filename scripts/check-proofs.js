import {readFileSync} from 'node:fs';

const PAGE = 'docs/PROOFS.md';

/**
Returns the tests that docs/PROOFS.md cites but that did not run. A proof cites a test as `test: <part of its full name>`.
*/
export const findMissingProofs = (assertions) => {
	const cited = [...readFileSync(PAGE, 'utf8').matchAll(/`test: (?<name>[^`]+)`/gv)].map(({groups}) =>
		groups.name.trim(),
	);
	if (cited.length === 0) {
		throw new Error(`${PAGE} names no test`);
	}

	const ran = assertions.filter((assertion) => !assertion.skip).map((assertion) => assertion.fullname);
	return cited.filter((name) => !ran.some((fullName) => fullName.includes(name)));
};
