/** Streams a request body to a backend server; enforces size and time limits, computes a digest, never buffers it in full. */

import type {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type http from 'node:http';
import {Readable} from 'node:stream';

/** Why a body was not transferred completely. */
export type BodyFault = 'too-large' | 'caller-slow' | 'caller-gone' | 'backend-slow';

/** Error for a body that was not transferred completely. */
export class BodyError extends Error {
	readonly fault: BodyFault;

	constructor(fault: BodyFault) {
		super(`Request body transfer failed: ${fault}`);
		this.name = 'BodyError';
		this.fault = fault;
	}
}

/** Limits and options for reading a body. */
export type BodyOptions = {
	readonly maxBytes: number;
	/** Maximum time without a byte from the caller. */
	readonly idleTimeoutMs: number;
	/** Maximum time in which the backend server accepts no byte. */
	readonly stallTimeoutMs: number;
	/** True to compute the digest. */
	readonly digested: boolean;
};

/** A body that is read only after `start` was called. */
export type RequestBody = {
	readonly stream: Readable;
	/** Starts reading from the caller. */
	readonly start: () => void;
	/** True after the last byte was read. */
	readonly isComplete: () => boolean;
	/** Digest of the complete body; `undefined` before its end or when `digested` is false. */
	readonly digest: () => string | undefined;
};

/** Digest of a request without a body. */
export const emptyDigest = createHash('sha256').digest('base64url');

/** Wraps the body of `incoming`, none of which may have been read yet. */
export const createRequestBody = (incoming: http.IncomingMessage, options: BodyOptions): RequestBody => {
	const hash = options.digested ? createHash('sha256') : undefined;
	let passedBytes = 0;
	let isStarted = false;
	let isComplete = false;
	let isBlocked = false;
	let digest: string | undefined;
	let timer: NodeJS.Timeout | undefined;

	const fail = (fault: BodyFault): void => {
		stream.destroy(new BodyError(fault));
	};

	const startTimer = (): void => {
		clearTimeout(timer);
		timer = setTimeout(() => {
			fail(isBlocked ? 'backend-slow' : 'caller-slow');
		}, isBlocked ? options.stallTimeoutMs : options.idleTimeoutMs);
	};

	const onData = (chunk: Buffer): void => {
		passedBytes += chunk.length;
		if (passedBytes > options.maxBytes) {
			fail('too-large');
			return;
		}

		hash?.update(chunk);
		isBlocked = !stream.push(chunk);
		if (isBlocked) {
			incoming.pause();
		}

		timer?.refresh();
		if (isBlocked) {
			startTimer();
		}
	};

	const onEnd = (): void => {
		clearTimeout(timer);
		isComplete = true;
		digest = hash?.digest('base64url');
		stream.push(null);
	};

	const onCallerGone = (): void => {
		if (!isComplete) {
			fail('caller-gone');
		}
	};

	const stream = new Readable({
		read() {
			if (isStarted && isBlocked) {
				isBlocked = false;
				startTimer();
				incoming.resume();
			}
		},
		destroy(error, callback) {
			clearTimeout(timer);
			incoming.off('data', onData);
			incoming.off('end', onEnd);
			incoming.off('close', onCallerGone);
			callback(error);
		},
	});
	// The consumer of the stream reports the error; without a consumer it must not crash the process.
	stream.on('error', () => undefined);
	incoming.on('error', onCallerGone);

	return {
		stream,
		start() {
			if (isStarted) {
				return;
			}

			isStarted = true;
			if (incoming.destroyed && !incoming.complete) {
				onCallerGone();
				return;
			}

			startTimer();
			incoming.on('data', onData);
			incoming.on('end', onEnd);
			incoming.on('close', onCallerGone);
		},
		isComplete: () => isComplete,
		digest: () => digest,
	};
};

/** Reads and discards a body; resolves with its digest, rejects with a `BodyError`. */
export const digestBody = async (incoming: http.IncomingMessage, options: Omit<BodyOptions, 'digested'>): Promise<string> => {
	const body = createRequestBody(incoming, {...options, digested: true});
	body.start();
	return new Promise((resolve, reject) => {
		body.stream.on('error', reject);
		body.stream.on('end', () => {
			resolve(body.digest() ?? emptyDigest);
		});
		body.stream.resume();
	});
};
