/** Releases a resource; called once. */
export type Closer = () => Promise<void> | void;

/** A long-running task; must end when the signal aborts. */
export type Task = (signal: AbortSignal) => Promise<void>;

/** Called when a supervised task fails, before it is restarted. */
export type FailureListener = (task: string, error: Error, restartMs: number) => void;

/** Owns resources and tasks and releases them in reverse order. */
export type Lifecycle = Readonly<{
	name: string;
	/** Aborts when `close` is called. */
	signal: AbortSignal;
	/** Registers clean-up; runs it immediately when the lifecycle is closing or closed. */
	add: (name: string, closer: Closer) => void;
	/** Runs a task until the lifecycle closes; restarts it with backoff when it throws. */
	run: (name: string, task: Task) => void;
	/** Creates a lifecycle that closes with this one. */
	child: (name: string) => Lifecycle;
	/** Aborts the signal, waits for tasks, then runs clean-up in reverse order. Safe to call twice. */
	close: () => Promise<void>;
}>;

export type BackoffOptions = Readonly<{
	minMs: number;
	maxMs: number;
	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
	random?: () => number;
}>;
