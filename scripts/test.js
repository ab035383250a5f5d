// Runs the compiled tests with tap and prints "N passed, N failed", counted from the TAP output.
// Exits non-zero when a test not listed in KNOWN-RED.txt fails, when tap itself fails, when a test cited in
// docs/PROOFS.md did not run, or when no test ran.
import {spawnSync} from 'node:child_process';
import {existsSync, mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {Parser} from 'tap-parser';
import {findMissingProofs} from './check-proofs.js';

const OUTPUT_FILE = 'out/results.tap';
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

// Each entry of KNOWN-RED.txt starts with a line "test: <part of the full name as printed below>".
const readKnownRed = () =>
	existsSync(KNOWN_RED_FILE)
		? readFileSync(KNOWN_RED_FILE, 'utf8')
				.split('\n')
				.filter((line) => line.startsWith('test: '))
				.map((line) => line.slice('test: '.length).trim())
		: [];

const fullName = (assertion) => assertion.fullname.replaceAll('\\', '/');

mkdirSync('out', {recursive: true});
const run = spawnSync('npx', ['--no-install', 'tap', 'run', '--reporter=tap', ...process.argv.slice(2)], {
	encoding: 'utf8',
	maxBuffer: 256 * 1024 * 1024,
});
writeFileSync(OUTPUT_FILE, run.stdout);
if (run.stderr) {
	console.error(run.stderr);
}

const assertions = Parser.parse(run.stdout, {flat: true})
	.filter(([event]) => event === 'assert')
	.map(([, assertion]) => assertion);
const failures = assertions.filter((assertion) => !assertion.ok && !assertion.todo && !assertion.skip);
const knownRed = readKnownRed();
const isKnownRed = (assertion) => knownRed.some((name) => fullName(assertion).includes(name));
const knownFailures = failures.filter((assertion) => isKnownRed(assertion));
const newFailures = failures.filter((assertion) => !isKnownRed(assertion));

for (const assertion of newFailures) {
	console.log(`not ok: ${fullName(assertion)}`);
	console.log(JSON.stringify(assertion.diag, undefined, 2));
}

for (const assertion of knownFailures) {
	console.log(`known red: ${fullName(assertion)}`);
}

const passed = assertions.filter((assertion) => assertion.ok && !assertion.skip).length;
const isRunBroken = run.status !== 0 && failures.length === 0;
if (isRunBroken) {
	console.log(`tap exited with ${run.status} without a failed assertion; see ${OUTPUT_FILE}`);
}

if (passed === 0) {
	console.log('no test ran');
}

// Only a run of all tests can cover every test that docs/PROOFS.md cites.
const isFullRun = process.argv.length === 2;
const missingProofs = isFullRun ? findMissingProofs(assertions) : [];
for (const name of missingProofs) {
	console.log(`docs/PROOFS.md names a test that did not run: ${name}`);
}

const failed = newFailures.length + missingProofs.length + (isRunBroken ? 1 : 0);
process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
console.log(`${passed} passed, ${failed} failed`);
