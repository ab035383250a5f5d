import process from 'node:process';
import {checkSettings, startInstance} from '@bergamotgauge/instance';
import {createSilentLog} from '@bergamotgauge/telemetry';

const settings = checkSettings(JSON.parse(process.argv[2]!) as Readonly<Record<string, unknown>>);
const {address, peerAddress} = await startInstance(settings, createSilentLog());
// Exit with the parent process, so that a failed bench leaves no orphan.
process.once('disconnect', () => {
	process.exit();
});
process.send!({ready: {address, peerAddress}});
