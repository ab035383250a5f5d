import type {Context} from './context.js';

/** Sends a message to every known instance. */
export const notifyAll = (context: Context, method: string, body: unknown): void => {
	for (const {id} of context.membership.members()) {
		context.membership.link(id)?.notify(method, body);
	}
};
