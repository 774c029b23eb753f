/** The body of a caller's request on its way to a backend server: counted, digested and bounded in time, never held whole. */

import type {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type http from 'node:http';
import {Readable} from 'node:stream';

/** Why a body did not pass whole. */
export type BodyFault = 'too-large' | 'caller-slow' | 'caller-gone' | 'backend-slow';

/** The error that a body fails with. */
export class BodyError extends Error {
	readonly fault: BodyFault;

	constructor(fault: BodyFault) {
		super(`The body did not pass: ${fault}`);
		this.name = 'BodyError';
		this.fault = fault;
	}
}

/** How a body is read. */
export type BodyOptions = {
	readonly maxBytes: number;
	/** Longest time without a byte from the caller. */
	readonly idleTimeoutMs: number;
	/** Longest time in which the backend server takes no byte. */
	readonly stallTimeoutMs: number;
	/** True to compute the digest. */
	readonly digested: boolean;
};

/** A body that flows once it is started. */
export type RequestBody = {
	readonly stream: Readable;
	/** Lets the body flow; nothing is taken from the caller before. */
	readonly start: () => void;
	/** True once the whole body has passed. */
	readonly isWhole: () => boolean;
	/** Digest of the whole body; `undefined` before its end or when it was not asked for. */
	readonly digest: () => string | undefined;
};

/** Digest of a request without a body. */
export const emptyDigest = createHash('sha256').digest('base64url');

/** Prepares the body of `incoming`; it must not have been read from before. */
export const createRequestBody = (incoming: http.IncomingMessage, options: BodyOptions): RequestBody => {
	const hash = options.digested ? createHash('sha256') : undefined;
	let passedBytes = 0;
	let isStarted = false;
	let isWhole = false;
	let isBlocked = false;
	let digest: string | undefined;
	let timer: NodeJS.Timeout | undefined;

	const fail = (fault: BodyFault): void => {
		stream.destroy(new BodyError(fault));
	};

	const arm = (): void => {
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
			arm();
		}
	};

	const onEnd = (): void => {
		clearTimeout(timer);
		isWhole = true;
		digest = hash?.digest('base64url');
		stream.push(null);
	};

	const onGone = (): void => {
		if (!isWhole) {
			fail('caller-gone');
		}
	};

	const stream = new Readable({
		read() {
			if (isStarted && isBlocked) {
				isBlocked = false;
				arm();
				incoming.resume();
			}
		},
		destroy(error, callback) {
			clearTimeout(timer);
			incoming.off('data', onData);
			incoming.off('end', onEnd);
			incoming.off('close', onGone);
			callback(error);
		},
	});
	// The failure is reported by whoever reads the stream; without a reader it must not end the process.
	stream.on('error', () => undefined);
	incoming.on('error', onGone);

	return {
		stream,
		start() {
			if (isStarted) {
				return;
			}

			isStarted = true;
			if (incoming.destroyed && !incoming.complete) {
				onGone();
				return;
			}

			arm();
			incoming.on('data', onData);
			incoming.on('end', onEnd);
			incoming.on('close', onGone);
		},
		isWhole: () => isWhole,
		digest: () => digest,
	};
};

/** Reads a body to its end without keeping it; resolves with its digest, rejects with a `BodyError`. */
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
