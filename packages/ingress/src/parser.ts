import type {Socket} from 'node:net';

/**
The parser of a connection. It and its properties are not documented by Node.js: where one is missing, what is dropped here is handled as usual, which takes more time and memory.

`kOnBody` of its class is the index of the function that gets each piece of a body.
*/
type Parser = {
	[index: number]: unknown;
	onIncoming?: () => number;
	readonly constructor: Readonly<{kOnBody?: number}>;
};

const parserOf = (socket: Socket): Parser | undefined => (socket as Readonly<{parser?: Parser}>).parser;

/** Drops the further requests in what was read from a socket. One read may hold thousands of small requests, and each would take several kilobytes until its connection has ended. */
export const dropFurtherRequests = (socket: Socket): void => {
	const parser = parserOf(socket);
	if (parser?.onIncoming) {
		parser.onIncoming = () => 0;
	}
};

/**
Drops what else of bodies was and will be read from a socket. One read may hold 11,000 chunks of one byte, which take 17 ms when each of them becomes an event and 1 ms when they are dropped.

@returns A function that undoes it; to be called when the connection closes at the latest, since Node.js uses parsers again.
*/
export const dropBody = (socket: Socket): (() => void) => {
	const parser = parserOf(socket);
	const index = parser?.constructor.kOnBody;
	if (!parser || index === undefined) {
		return () => {};
	}

	const handlePiece = parser[index];
	parser[index] = undefined;
	return () => {
		parser[index] ??= handlePiece;
	};
};
