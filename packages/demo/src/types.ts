import type {ChildProcess} from 'node:child_process';

/** A process that the demo started. */
export type DemoProcess = Readonly<{
	name: string;
	child: ChildProcess;
}>;
