#!/usr/bin/env node
import process from 'node:process';
import {CommanderError} from 'commander';
import {EXIT_CODES} from './constants.js';
import {printError} from './output.js';
import {createProgram, exitCodeOf} from './program.js';

try {
	await createProgram().parseAsync();
} catch (error) {
	if (error instanceof CommanderError) {
		// Commander has printed its message already.
		process.exitCode = error.exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.usage;
	} else {
		printError(error instanceof Error ? error.message : String(error));
		process.exitCode = exitCodeOf(error);
	}
}
