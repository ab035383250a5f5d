// Runs the compiled tests with tap and prints "N passed, N failed", counted from the TAP output. Files named
// *.serial.test.js run after all others, one after the other: they need the machine to themselves.
// Exits non-zero when a test not listed in KNOWN-RED.txt fails, when tap itself fails, when a test cited in
// docs/PROOFS.md did not run, or when no test ran.
import {spawnSync} from 'node:child_process';
import {existsSync, mkdirSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {Parser} from 'tap-parser';
import {findMissingProofs} from './check-proofs.js';

const OUTPUT_FILE = 'out/results.tap';
const SERIAL_OUTPUT_FILE = 'out/results-serial.tap';
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

/** Runs tap and returns the assertions in its output; the output is kept in `outputFile`. */
const runTap = (args, outputFile) => {
	const {status, stdout, stderr} = spawnSync('npx', ['--no-install', 'tap', 'run', '--reporter=tap', ...args], {
		encoding: 'utf8',
		maxBuffer: 256 * 1024 * 1024,
	});
	writeFileSync(outputFile, stdout);
	if (stderr) {
		console.error(stderr);
	}

	const assertions = Parser.parse(stdout, {flat: true})
		.filter(([event]) => event === 'assert')
		.map(([, assertion]) => assertion);
	return {status, assertions, outputFile};
};

const isSerial = (file) => file.endsWith('.serial.test.js');

const findSerialFiles = () =>
	['platform', ...readdirSync('packages').map((name) => `packages/${name}`)]
		.map((directory) => `${directory}/dist`)
		.filter((directory) => existsSync(directory))
		.flatMap((directory) => readdirSync(directory, {recursive: true}).map((file) => `${directory}/${file}`))
		.filter((file) => isSerial(file));

mkdirSync('out', {recursive: true});
const args = process.argv.slice(2);
// Only a run of all tests can cover every test that docs/PROOFS.md cites.
const isFullRun = args.length === 0;
const serialFiles = isFullRun ? findSerialFiles() : args.filter((arg) => isSerial(arg));
const parallelArgs = args.filter((arg) => !isSerial(arg));
const runs = [];
if (isFullRun || parallelArgs.length > 0) {
	runs.push(runTap(parallelArgs, OUTPUT_FILE));
}

if (serialFiles.length > 0) {
	runs.push(runTap(['--jobs=1', ...serialFiles], SERIAL_OUTPUT_FILE));
}

const assertions = runs.flatMap((run) => run.assertions);
const isFailure = (assertion) => !assertion.ok && !assertion.todo && !assertion.skip;
const failures = assertions.filter((assertion) => isFailure(assertion));
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
const brokenRuns = runs.filter((run) => run.status !== 0 && !run.assertions.some((assertion) => isFailure(assertion)));
for (const {status, outputFile} of brokenRuns) {
	console.log(`tap exited with ${status} without a failed assertion; see ${outputFile}`);
}

if (passed === 0) {
	console.log('no test ran');
}

const missingProofs = isFullRun ? findMissingProofs(assertions) : [];
for (const name of missingProofs) {
	console.log(`docs/PROOFS.md names a test that did not run: ${name}`);
}

const failed = newFailures.length + missingProofs.length + brokenRuns.length;
process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
console.log(`${passed} passed, ${failed} failed`);
