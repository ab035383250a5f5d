import {ServiceError, type ErrorCode} from '@bergamotgauge/model';
import {Command} from 'commander';
import {EXIT_CODES} from './constants.js';
import {applyCommand, diffCommand, validateCommand} from './declaration-commands.js';
import {explainCommand} from './explain-command.js';
import {hashTokenCommand} from './hash-token-command.js';
import {serveCommand} from './serve-command.js';
import {cancelCommand, drainCommand, jobsCommand, statusCommand, submitCommand} from './service-commands.js';
import {traceCommand} from './trace-command.js';

const COMMANDS = [
	serveCommand,
	validateCommand,
	diffCommand,
	applyCommand,
	statusCommand,
	jobsCommand,
	submitCommand,
	cancelCommand,
	explainCommand,
	traceCommand,
	drainCommand,
	hashTokenCommand,
] as const;

const EXIT_CODE_HELP = `
Exit codes:
  0  done
  1  failed
  2  wrong usage, or declarations or a job that cannot be accepted
  3  conflict with another change
  4  the service is not available
  5  accepted, but not in effect within the wait time
  6  the token is not valid or does not allow it`;

const EXIT_CODE_BY_ERROR: Partial<Readonly<Record<ErrorCode, number>>> = {
	'bad-request': EXIT_CODES.usage,
	impossible: EXIT_CODES.usage,
	'too-large': EXIT_CODES.usage,
	unauthenticated: EXIT_CODES.denied,
	forbidden: EXIT_CODES.denied,
	'peer-unavailable': EXIT_CODES.unavailable,
	'deadline-exceeded': EXIT_CODES.unavailable,
	conflict: EXIT_CODES.conflict,
	'store-unavailable': EXIT_CODES.unavailable,
	draining: EXIT_CODES.unavailable,
	overloaded: EXIT_CODES.unavailable,
};

/** Returns the exit code for an error that ended a command. */
export const exitCodeOf = (error: unknown): number => {
	if (error instanceof ServiceError) {
		return EXIT_CODE_BY_ERROR[error.code] ?? EXIT_CODES.failed;
	}

	return EXIT_CODES.failed;
};

/** Creates the `bergamotgauge` command-line program. */
export const createProgram = (): Command => {
	const program = new Command('bergamotgauge')
		.description('Scheduler for multi-accelerator jobs under customer guarantees, and router of requests to endpoints')
		.version('0.1.0')
		.addHelpText('after', EXIT_CODE_HELP)
		.exitOverride();
	for (const command of COMMANDS) {
		program.addCommand(command().exitOverride());
	}

	return program;
};
