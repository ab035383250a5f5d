// Fails when source code outside platform/ uses a path, header or field name of the platform's API.
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import process from 'node:process';

const NAMES =
	/kv-(?:key|range|watch|txn|lease|keep)|run-start|run-stop|machine-(?:move|upkeep)|\/advise|op\/config|op\/wave|servers\/|X-Bergamotgauge-(?:Deadline-Ms|Expected-Instance|Duty-Holder)|\b(?:memMb|lastSeen|admissionCheck|antiAffinity|holdMaxMs|rollbackSlackMs|routeType|apiKeys|coldRemainingMs|createRevision\b.*asOf|untilMs: \w+.*fence)\b/v;

const files = execFileSync('git', ['ls-files', 'packages/*.ts', 'scripts/*.js'], {encoding: 'utf8'})
	.split('\n')
	.filter((file) => file !== '' && file !== 'scripts/check-platform-names.js');

let found = 0;
for (const file of files) {
	for (const [index, line] of readFileSync(file, 'utf8').split('\n').entries()) {
		if (NAMES.test(line)) {
			found += 1;
			console.error(`${file}:${index + 1}: name of the platform outside platform/: ${line.trim()}`);
		}
	}
}

process.exitCode = found > 0 ? 1 : 0;
