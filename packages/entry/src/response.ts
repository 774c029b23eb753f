/** Writes responses to callers: streamed from a backend server, or replayed from storage. */

import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type http from 'node:http';
import type {Readable} from 'node:stream';
import type {StoredAnswer} from '@egretwing/core';
import {createBodyPieces, discardUnreadBody, forwardedHeaders} from '@egretwing/node';
import type {AttemptOutcome} from './attempt.ts';
import {instanceHeader, internalHeaders, replayedHeader} from './constants.ts';

/** Outcome of an attempt that received a response. */
export type AnsweredOutcome = Extract<AttemptOutcome, {type: 'answered'}>;

/** How forwarding a response ended: complete, truncated by the backend server, or abandoned by the caller. */
export type ForwardResult = 'whole' | 'cut' | 'caller-gone';

const writeHead = (response: http.ServerResponse, outcome: Pick<AnsweredOutcome, 'statusCode' | 'headers'>, instanceId: string | undefined): void => {
	response.writeHead(outcome.statusCode, {...forwardedHeaders(outcome.headers, internalHeaders), ...(instanceId !== undefined && {[instanceHeader]: instanceId})});
};

/** Closes the connection of a caller that reads nothing of its response for `idleTimeoutMs`. */
const limitReadStall = (response: http.ServerResponse, idleTimeoutMs: number): void => {
	response.setTimeout(idleTimeoutMs, () => {
		response.destroy();
	});
};

/**
 * Copies `body` into `response` with back pressure; rejects when either side closes early.
 *
 * `stream.pipeline` does the same, but finishes with an abort event that allocates an error object for each response.
 */
const copyBody = async (body: Readable, response: http.ServerResponse): Promise<void> => new Promise((resolve, reject) => {
	body.once('error', reject);
	body.once('close', () => {
		if (!body.readableEnded) {
			reject(new Error('Response body closed before its end'));
		}
	});
	response.once('error', reject);
	response.once('finish', resolve);
	response.once('close', () => {
		if (!response.writableFinished) {
			body.destroy();
			reject(new Error('Caller closed the connection before the response was complete'));
		}
	});
	body.pipe(response);
});

/** Streams a response with back pressure; closes the caller's connection when the response is truncated. */
export const forwardResponse = async (response: http.ServerResponse, outcome: AnsweredOutcome, instanceId: string | undefined, idleTimeoutMs: number): Promise<ForwardResult> => {
	let isTruncated = false;
	outcome.body.once('error', () => {
		isTruncated = true;
	});
	try {
		writeHead(response, outcome, instanceId);
		limitReadStall(response, idleTimeoutMs);
		await copyBody(outcome.body, response);
		discardUnreadBody(response);
		return 'whole';
	} catch {
		response.destroy();
		return isTruncated && !response.req.destroyed ? 'cut' : 'caller-gone';
	}
};

const writeChunk = async (response: http.ServerResponse, chunk: Buffer): Promise<void> => {
	if (response.destroyed || response.write(chunk)) {
		return;
	}

	const settled = new AbortController();
	await Promise.race([
		once(response, 'drain', {signal: settled.signal}),
		once(response, 'close', {signal: settled.signal}),
	]);
	settled.abort();
};

/** Options for forwarding a response and storing a copy of it. */
export type StoreOptions = {
	readonly maxAnswerBytes: number;
	readonly instanceId: string;
	readonly idleTimeoutMs: number;
};

/** Result of forwarding a response, with the copy of it; `stored` is absent if the response was truncated or too large to store. */
export type StoredForwardResult = {
	readonly result: 'whole' | 'cut';
	readonly stored?: StoredAnswer;
};

const toHeaderList = (headers: Readonly<Record<string, string | string[]>>): readonly string[] =>
	Object.entries(headers).flatMap(([name, value]) => [value].flat().flatMap(text => [name, text]));

const copyAndBuffer = async (response: http.ServerResponse, body: Readable, maxBytes: number): Promise<Buffer | undefined> => {
	const pieces = createBodyPieces(() => true);
	let sizeBytes = 0;
	for await (const chunk of body as AsyncIterable<Buffer>) {
		sizeBytes += chunk.length;
		if (sizeBytes <= maxBytes) {
			pieces.add(chunk);
		} else {
			pieces.take();
		}

		if (response.destroyed && sizeBytes > maxBytes) {
			body.destroy();
			return undefined;
		}

		await writeChunk(response, chunk);
	}

	return sizeBytes <= maxBytes ? Buffer.concat(pieces.take()) : undefined;
};

/** Forwards a response and stores a copy; continues to read it after the caller has disconnected. */
export const forwardAndStoreResponse = async (response: http.ServerResponse, outcome: AnsweredOutcome, options: StoreOptions): Promise<StoredForwardResult & {readonly finish: () => void}> => {
	const {instanceId, maxAnswerBytes} = options;
	response.on('error', () => undefined);
	if (!response.destroyed) {
		writeHead(response, outcome, instanceId);
		limitReadStall(response, options.idleTimeoutMs);
	}

	try {
		const body = await copyAndBuffer(response, outcome.body, maxAnswerBytes);
		const headers = toHeaderList({...forwardedHeaders(outcome.headers, internalHeaders), [instanceHeader]: instanceId});
		return {
			result: 'whole',
			...(body && {stored: {statusCode: outcome.statusCode, headers, body}}),
			finish() {
				response.end();
			},
		};
	} catch {
		return {
			result: 'cut',
			finish() {
				response.destroy();
			},
		};
	}
};

/** Answers a resend with the response that was stored when the request ran. */
export const replayResponse = (response: http.ServerResponse, stored: StoredAnswer): void => {
	response.writeHead(stored.statusCode, [...stored.headers, replayedHeader, 'true']);
	response.end(stored.body);
};
