import process from 'node:process';
import {createLog, openLogOutput} from '@bergamotgauge/telemetry';
import {Command} from 'commander';
import {environmentOption} from './options.js';

/** `serve`: runs one instance until SIGTERM or SIGINT. */
export const serveCommand = (): Command =>
	new Command('serve')
		.description('Run one instance')
		.addOption(environmentOption('--id <id>', 'id of this instance in the instance list'))
		.addOption(environmentOption('--availability-zone <name>', 'availability zone of this instance'))
		.addOption(environmentOption('--host <ip>', 'IP address for callers and operators').default('127.0.0.1'))
		.addOption(environmentOption('--port <port>', 'port for callers and operators, 0 for any').default('8080'))
		.addOption(environmentOption('--peer-host <ip>', 'IP address for other instances').default('127.0.0.1'))
		.addOption(environmentOption('--peer-port <port>', 'port for other instances, 0 for any').default('7100'))
		.addOption(environmentOption('--store-url <url>', "base URL of the platform's store"))
		.addOption(environmentOption('--instance-list-url <url>', "base URL of the platform's instance list"))
		.addOption(
			environmentOption(
				'--bootstrap-token-sha256 <hex>',
				'SHA-256 of the operator token that is valid until the first bundle is applied',
			),
		)
		.addOption(
			environmentOption(
				'--drain-seconds <seconds>',
				'time limit for requests in progress when the instance stops',
			).default('30'),
		)
		.addOption(environmentOption('--log-level <level>', 'debug, info, warn or error').default('info'))
		.addHelpText(
			'after',
			'\nExample:\n  bergamotgauge serve --id q1 --availability-zone a --store-url http://10.0.0.5:7000 --instance-list-url http://10.0.0.6:7001 --bootstrap-token-sha256 <hex>',
		)
		.action(async (options: Readonly<Record<string, unknown>>) => {
			// Imported here, because the other commands start faster without the instance's modules.
			const {checkSettings, startInstance} = await import('@bergamotgauge/instance');
			const settings = checkSettings(options);
			const output = openLogOutput();
			const log = createLog({level: settings.logLevel, output}).with({instance: settings.id});
			const instance = await startInstance(settings, log);
			const stop = async () => {
				// A second signal ends the process at once.
				process.once('SIGTERM', () => {
					process.exit(1);
				});
				await instance.drain();
				await output.flush();
				process.exit(0);
			};

			process.once('SIGTERM', () => {
				void stop();
			});
			process.once('SIGINT', () => {
				void stop();
			});
		});
