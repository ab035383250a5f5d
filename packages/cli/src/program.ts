import {ServiceError, type ErrorCode} from '@bergamotgauge/model';
import {Command} from 'commander';
import {EXIT_CODES} from './constants.js';
import {applyCommand, diffCommand, validateCommand} from './declaration-commands.js';
import {serveCommand} from './serve-command.js';
import {drainCommand, explainCommand, jobsCommand, statusCommand, submitCommand} from './service-commands.js';

const COMMANDS = [
	serveCommand,
	validateCommand,
	diffCommand,
	applyCommand,
	statusCommand,
	jobsCommand,
	submitCommand,
	explainCommand,
	drainCommand,
] as const;

const EXIT_CODE_HELP = `
Exit codes:
  0  done
  1  failed
  2  wrong usage or invalid declarations
  3  conflict with another change
  4  the service is not available
  5  accepted, but not in force everywhere within the wait time`;

const EXIT_CODE_BY_ERROR: Partial<Readonly<Record<ErrorCode, number>>> = {
	'bad-request': EXIT_CODES.usage,
	conflict: EXIT_CODES.conflict,
	'store-unavailable': EXIT_CODES.unavailable,
	draining: EXIT_CODES.unavailable,
	overloaded: EXIT_CODES.unavailable,
};

/** Exit code for an error that ended a command. */
export const exitCodeOf = (error: unknown): number => {
	if (error instanceof ServiceError) {
		return EXIT_CODE_BY_ERROR[error.code] ?? EXIT_CODES.failed;
	}

	return EXIT_CODES.failed;
};

/** The `bergamotgauge` program. */
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
