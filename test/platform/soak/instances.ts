/** Instances of a service that can be told to fail, and a record of the requests that they ran. */

import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {Random} from '@egretwing/core';
import {listen} from '@egretwing/node';
import {platformHeaderNames as names} from '../../../platform/names.ts';
import type {Arrival, SaidNotice} from './notices.ts';

/** How an instance treats a share of its requests. */
export type Behaviour = 'sound' | 'errors' | 'resets' | 'resets-after-work' | 'hangs' | 'sheds' | 'spoils';

/** One run of a request. */
export type Run = {
	readonly requestId: string;
	readonly instanceId: string;
	readonly atMs: number;
	/** How the received request differs from the sent one; empty when it does not. */
	readonly flaw: string;
};

/** A running instance. */
export type SoakInstance = {
	readonly instanceId: string;
	readonly setBehaviour: (behaviour: Behaviour) => void;
	/** From now on, all answers say that the instance leaves. */
	readonly announceLeaving: () => void;
	readonly close: () => void;
};

/** Options of an instance; it appends to `runs`, `arrivals` and `notices`. */
export type SoakInstanceOptions = {
	readonly instanceId: string;
	readonly address: string;
	readonly port: number;
	readonly slots: number;
	readonly random: Random;
	readonly runs: Run[];
	readonly arrivals: Arrival[];
	readonly notices: SaidNotice[];
};

/** Header with the digest of the body that the caller sent. */
export const digestHeader = 'x-soak-digest';

/** Digest of a body. */
export const digestOf = (body: Uint8Array | string): string => createHash('sha256').update(body).digest('hex').slice(0, 16);

/** Share of requests that a failing instance fails. */
const failingShare = 0.6;
const hangMs = 4000;
const workMs = {least: 10, spread: 40} as const;
/** Range of the pause that a rejection asks for, in seconds. */
const pauseSeconds = {least: 0.4, spread: 1.6} as const;
const msPerSecond = 1000;

/** Starts an instance; it answers a request with the id of the request and the digest of the body. */
export const createSoakInstance = async ({
	instanceId, address, port, slots, random, runs, arrivals, notices,
}: SoakInstanceOptions): Promise<SoakInstance> => {
	let behaviour: Behaviour = 'sound';
	let inFlight = 0;
	let isLeaving = false;

	const answer = (response: http.ServerResponse, statusCode: number, text: string, headers: http.OutgoingHttpHeaders = {}): void => {
		response.writeHead(statusCode, {
			'content-length': Buffer.byteLength(text), 'keep-alive': 'timeout=5', ...(isLeaving && {[names.leaving]: '1'}), ...headers,
		});
		response.end(text);
	};

	const recordNotice = (requestId: string, isFinal: boolean, pauseMs?: number): void => {
		if (isLeaving || pauseMs !== undefined) {
			notices.push({
				requestId, instanceId, atMs: Date.now(), isLeaving, isFinal, ...(pauseMs !== undefined && {pauseMs}),
			});
		}
	};

	/** Rejects a request as not run; in half of the cases it asks for a pause. */
	const reject = (requestId: string, response: http.ServerResponse): void => {
		const seconds = random.next() < 0.5 ? undefined : (pauseSeconds.least + (pauseSeconds.spread * random.next())).toFixed(2);
		recordNotice(requestId, false, seconds === undefined ? undefined : Number(seconds) * msPerSecond);
		answer(response, 503, '', {[names.requestId]: requestId, [names.notExecuted]: '1', ...(seconds !== undefined && {'retry-after': seconds})});
	};

	const run = async (request: http.IncomingMessage, response: http.ServerResponse, body: Uint8Array): Promise<void> => {
		const requestId = String(request.headers[names.requestId]);
		const digest = digestOf(body);
		const isFailing = random.next() < failingShare;
		if (behaviour === 'resets' && isFailing) {
			request.socket.resetAndDestroy();
			return;
		}

		runs.push({
			requestId, instanceId, atMs: Date.now(), flaw: request.headers[digestHeader] === digest ? '' : 'another body',
		});
		await delay(workMs.least + (workMs.spread * random.next()) + (behaviour === 'hangs' && isFailing ? hangMs : 0));
		if (behaviour === 'resets-after-work' && isFailing) {
			request.socket.resetAndDestroy();
			return;
		}

		const headers = {[names.requestId]: requestId, [names.signature]: instanceId};
		recordNotice(requestId, true);
		if (behaviour === 'errors' && isFailing) {
			answer(response, 500, '', headers);
			return;
		}

		if (behaviour === 'spoils' && isFailing) {
			request.socket.write(`HTTP/1.1 200 OK\r\n${names.requestId}: another\r\n${names.signature}: ${instanceId}\r\ncontent-length: 5\r\n\r\nother`);
			return;
		}

		answer(response, 200, `${requestId} ${digest}`, headers);
	};

	const server = http.createServer(async (request, response) => {
		const chunks: Buffer[] = [];
		try {
			for await (const chunk of request as AsyncIterable<Buffer>) {
				chunks.push(chunk);
			}
		} catch {
			// The gateway aborted the request, which has not run.
			return;
		}

		if (request.headers[names.targetInstance] !== instanceId) {
			answer(response, 421, '');
			return;
		}

		const requestId = String(request.headers[names.requestId]);
		arrivals.push({requestId, instanceId, atMs: Date.now()});
		if (inFlight >= slots || (behaviour === 'sheds' && random.next() < failingShare)) {
			reject(requestId, response);
			return;
		}

		inFlight++;
		await run(request, response, Buffer.concat(chunks));
		inFlight--;
	});
	await listen(server, port, address);

	return {
		instanceId,
		setBehaviour(next) {
			behaviour = next;
		},
		announceLeaving() {
			isLeaving = true;
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};
