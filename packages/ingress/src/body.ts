import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {ServiceError} from '@bergamotgauge/model';
import type {Holding} from './body-budget.js';
import type {BodyBuffers} from './body-buffers.js';
import {CROWDED_SMALL_PIECES, FIRST_BUFFER_BYTES, RETRY_AFTER_MS, SMALL_PIECE_BYTES} from './constants.js';
import type {RefusalCause} from './types.js';

const MESSAGES: Readonly<Record<RefusalCause, string>> = {
	'customer-share': 'the customer has too many requests under way',
	'source-share': 'the address has too many requests under way',
	memory: 'the instance has too many requests under way',
	'too-slow': 'no more of the body has arrived for too long',
	'too-large': 'the body is too large',
	'small-pieces': 'the body of the request arrives in too small pieces',
	'client-left': 'the client left before the end of the body',
};

/** The error for a request that was given up before it was passed on. */
export const createRefusal = (cause: RefusalCause): ServiceError => {
	const details = {cause};
	if (cause === 'too-large') {
		return new ServiceError(MESSAGES[cause], {code: 'too-large', verdict: 'not-run', details});
	}

	if (cause === 'too-slow') {
		return new ServiceError(MESSAGES[cause], {code: 'deadline-exceeded', verdict: 'not-run', status: 408, details});
	}

	const isOverShare = cause === 'customer-share' || cause === 'source-share';
	return new ServiceError(MESSAGES[cause], {
		code: isOverShare ? 'over-quota' : 'overloaded',
		verdict: 'not-run',
		retryAfterMs: RETRY_AFTER_MS,
		details,
	});
};

/** Bytes in one buffer that grows by doubling, whatever the size of the pieces that it gets. */
const createCollector = (buffers: BodyBuffers, firstBytes: number, maxBytes: number) => {
	let buffer = buffers.take(firstBytes);
	let length = 0;
	return {
		size: () => buffer.length,
		/** Size of the buffer that one more piece needs. */
		sizeFor(piece: Uint8Array): number {
			let size = Math.max(1, buffer.length);
			while (size < length + piece.length) {
				size *= 2;
			}

			return Math.min(size, maxBytes);
		},
		add(piece: Uint8Array, size: number) {
			if (size > buffer.length) {
				const larger = buffers.take(size);
				buffer.copy(larger, 0, 0, length);
				buffers.giveBack(buffer);
				buffer = larger;
			}

			buffer.set(piece, length);
			length += piece.length;
		},
		bytes: () => buffer.subarray(0, length),
		discard() {
			buffers.giveBack(buffer);
		},
	};
};

const parseLength = ({headers}: IncomingMessage): number | undefined =>
	headers['content-length'] === undefined ? undefined : Number(headers['content-length']);

/** The body of a request while it is read. */
export type BodyReading = Readonly<{
	/** The bytes belong to whoever awaits it, who gives them back to the buffers. */
	body: Promise<Buffer>;
	/** Ends the reading; `body` rejects with the refusal. Without effect once the body was read. */
	giveUp: (cause: RefusalCause) => void;
}>;

export type BodyReadingOptions = Readonly<{
	maxBytes: number;
	buffers: BodyBuffers;
	holding: Holding;
	/** Called with each piece. */
	onPiece: () => void;
	/** Whether a body in so many small pieces, which take far more processor time than their bytes, is still read. */
	maySendSmallPieces: (pieces: number) => boolean;
	/** Called when the body is given up, before more of it is read. */
	onGivenUp: () => void;
}>;

/**
Reads a body of at most `maxBytes`. A known length is taken from the budget at once, an unknown one as the buffer grows.

@throws {ServiceError} with the verdict `not-run` when the body is too large, too slow or finds no room; `body` rejects with it.
*/
export const readBody = (
	request: IncomingMessage,
	{maxBytes, buffers, holding, onPiece, maySendSmallPieces, onGivenUp}: BodyReadingOptions,
): BodyReading => {
	const knownBytes = parseLength(request);
	const firstBytes = knownBytes ?? Math.min(FIRST_BUFFER_BYTES, maxBytes);
	let received = 0;
	let pieces = 0;
	let giveUp: (cause: RefusalCause) => void = () => {};
	const body = new Promise<Buffer>((resolve, reject) => {
		const cause = firstBytes > maxBytes ? 'too-large' : holding.grow(firstBytes);
		if (cause !== undefined) {
			onGivenUp();
			reject(createRefusal(cause));
			return;
		}

		const collector = createCollector(buffers, firstBytes, maxBytes);
		let isReading = true;
		const stopReading = () => {
			isReading = false;
			request.off('data', handleData);
			request.off('end', handleEnd);
			request.off('close', handleClose);
		};

		giveUp = (reason) => {
			// The buffer of a body that was read belongs to its reader, and that of one given up may hold another body by now.
			if (!isReading) {
				return;
			}

			stopReading();
			onGivenUp();
			collector.discard();
			reject(createRefusal(reason));
		};

		const handleData = (piece: Buffer) => {
			received += piece.length;
			pieces += 1;
			onPiece();
			const isInSmallPieces = pieces % CROWDED_SMALL_PIECES === 0 && received < pieces * SMALL_PIECE_BYTES;
			if (isInSmallPieces && !maySendSmallPieces(pieces)) {
				giveUp('small-pieces');
				return;
			}

			if (received > maxBytes) {
				giveUp('too-large');
				return;
			}

			const size = collector.sizeFor(piece);
			const shortage = size > collector.size() ? holding.grow(size - collector.size()) : undefined;
			if (shortage) {
				giveUp(shortage);
				return;
			}

			holding.recordProgress(piece.length);
			collector.add(piece, size);
		};

		const handleEnd = () => {
			stopReading();
			resolve(collector.bytes());
		};

		const handleClose = () => {
			giveUp('client-left');
		};

		request.on('data', handleData);
		request.once('end', handleEnd);
		request.once('close', handleClose);
	});
	return {
		body,
		giveUp(cause) {
			giveUp(cause);
		},
	};
};
