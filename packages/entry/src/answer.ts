/** Writes answers to callers: the backend server's own, or a stored one. */

import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type http from 'node:http';
import type {Readable} from 'node:stream';
import type {StoredAnswer} from '@egretwing/core';
import {boundUnreadBody, forwardedHeaders} from '@egretwing/node';
import type {AttemptOutcome} from './attempt.ts';
import {instanceHeader, ownHeaders, replayedHeader} from './constants.ts';

/** An attempt that was answered. */
export type Answered = Extract<AttemptOutcome, {type: 'answered'}>;

/** How the answer reached its caller. */
export type PassResult = 'whole' | 'cut' | 'caller-gone';

const writeHead = (response: http.ServerResponse, answer: Pick<Answered, 'statusCode' | 'headers'>, instanceId: string | undefined): void => {
	response.writeHead(answer.statusCode, {...forwardedHeaders(answer.headers, ownHeaders), ...(instanceId !== undefined && {[instanceHeader]: instanceId})});
};

/** Breaks off a caller that takes nothing of its answer for `idleTimeoutMs`. */
const boundSlowReader = (response: http.ServerResponse, idleTimeoutMs: number): void => {
	response.setTimeout(idleTimeoutMs, () => {
		response.destroy();
	});
};

/**
 * Copies `body` into `response` with back pressure; rejects when either side ends early.
 *
 * `pipeline` of Node's streams does the same, but ends with an abort event whose error object is made for each answer.
 */
const copyBody = async (body: Readable, response: http.ServerResponse): Promise<void> => new Promise((resolve, reject) => {
	body.once('error', reject);
	body.once('close', () => {
		if (!body.readableEnded) {
			reject(new Error('The answer ended early'));
		}
	});
	response.once('error', reject);
	response.once('finish', resolve);
	response.once('close', () => {
		if (!response.writableFinished) {
			body.destroy();
			reject(new Error('The caller is gone'));
		}
	});
	body.pipe(response);
});

/** Streams an answer with back pressure; breaks the caller's connection off when the answer is cut. */
export const passAnswer = async (response: http.ServerResponse, answer: Answered, instanceId: string | undefined, idleTimeoutMs: number): Promise<PassResult> => {
	let isCut = false;
	answer.body.once('error', () => {
		isCut = true;
	});
	try {
		writeHead(response, answer, instanceId);
		boundSlowReader(response, idleTimeoutMs);
		await copyBody(answer.body, response);
		boundUnreadBody(response);
		return 'whole';
	} catch {
		response.destroy();
		return isCut && !response.req.destroyed ? 'cut' : 'caller-gone';
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

/** What a kept answer needs. */
export type KeepOptions = {
	readonly maxAnswerBytes: number;
	readonly instanceId: string;
	readonly idleTimeoutMs: number;
};

/** A passed answer and the copy of it, absent when it was too large. */
export type KeptAnswer = {
	readonly result: 'whole' | 'cut';
	readonly stored?: StoredAnswer;
};

const toHeaderList = (headers: Readonly<Record<string, string | string[]>>): readonly string[] =>
	Object.entries(headers).flatMap(([name, value]) => [value].flat().flatMap(text => [name, text]));

const readOn = async (response: http.ServerResponse, body: Readable, maxBytes: number): Promise<Buffer | undefined> => {
	const chunks: Buffer[] = [];
	let sizeBytes = 0;
	for await (const chunk of body as AsyncIterable<Buffer>) {
		sizeBytes += chunk.length;
		if (sizeBytes <= maxBytes) {
			chunks.push(chunk);
		} else {
			chunks.length = 0;
		}

		if (response.destroyed && sizeBytes > maxBytes) {
			body.destroy();
			return undefined;
		}

		await writeChunk(response, chunk);
	}

	return sizeBytes <= maxBytes ? Buffer.concat(chunks) : undefined;
};

/** Passes an answer and keeps a copy; goes on reading it when the caller is gone. */
export const passAndKeepAnswer = async (response: http.ServerResponse, answer: Answered, options: KeepOptions): Promise<KeptAnswer & {readonly finish: () => void}> => {
	const {instanceId, maxAnswerBytes} = options;
	response.on('error', () => undefined);
	if (!response.destroyed) {
		writeHead(response, answer, instanceId);
		boundSlowReader(response, options.idleTimeoutMs);
	}

	try {
		const body = await readOn(response, answer.body, maxAnswerBytes);
		const headers = toHeaderList({...forwardedHeaders(answer.headers, ownHeaders), [instanceHeader]: instanceId});
		return {
			result: 'whole',
			...(body && {stored: {statusCode: answer.statusCode, headers, body}}),
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

/** Answers a resend with the answer of the run. */
export const replayAnswer = (response: http.ServerResponse, answer: StoredAnswer): void => {
	response.writeHead(answer.statusCode, [...answer.headers, replayedHeader, 'true']);
	response.end(answer.body);
};
