/** One attempt of a request at one instance. */

import type {Readable} from 'node:stream';
import {Pool, errors} from 'undici';
import type {Instance} from '@egretwing/core';
import {deadlineHeader} from './constants.ts';
import type {CallerRequest} from './request.ts';

/** How an attempt ended. */
export type AttemptOutcome
	= | {
		readonly type: 'answered';
		readonly statusCode: number;
		readonly headers: Readonly<Record<string, string | string[] | undefined>>;
		readonly body: Readable;
	}
	| {
		/** Nothing was written to any connection. */
		readonly type: 'not-written';
	}
	| {
		/** The connection was lost or timed out after something may have been written. */
		readonly type: 'unknown';
		readonly reason: 'connection-lost' | 'timeout';
	};

/** Sends requests to instances over pooled connections. */
export type Attempts = {
	readonly send: (request: CallerRequest, instance: Instance, nowMs: number, signal: AbortSignal) => Promise<AttemptOutcome>;
	readonly close: () => Promise<void>;
};

/** Headers that concern one connection only and are not passed on. */
const hopByHopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', deadlineHeader,
]);

/** Drops the headers that concern the caller's connection only. */
export const forwardedHeaders = (headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string | string[]> => {
	const kept: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopByHopHeaders.has(name)) {
			kept[name] = value;
		}
	}

	return kept;
};

const classify = (error: unknown): AttemptOutcome => {
	const code = (error as {readonly code?: string}).code ?? '';
	if (error instanceof errors.ConnectTimeoutError || code === 'ECONNREFUSED' || code === 'EHOSTUNREACH') {
		return {type: 'not-written'};
	}

	const timedOut = error instanceof errors.HeadersTimeoutError || (error as Error).name === 'TimeoutError';
	return {type: 'unknown', reason: timedOut ? 'timeout' : 'connection-lost'};
};

/** Creates the attempts; one pool of connections an instance, one request at a time on each. */
export const createAttempts = (): Attempts => {
	const pools = new Map<string, Pool>();
	const poolOf = (request: CallerRequest, instance: Instance): Pool => {
		const origin = `http://${instance.address}:${instance.port}`;
		const existing = pools.get(origin);
		if (existing) {
			return existing;
		}

		const pool = new Pool(origin, {
			connections: request.service.connectionsPerInstance,
			pipelining: 1,
			connect: {timeout: request.service.connectTimeoutMs},
		});
		pools.set(origin, pool);
		return pool;
	};

	return {
		async send(request, instance, nowMs, signal) {
			const leftMs = Math.max(1, Math.floor(request.deadlineAtMs - nowMs));
			try {
				const answer = await poolOf(request, instance).request({
					method: request.method,
					path: request.target,
					headers: {...forwardedHeaders(request.incoming.headers), [deadlineHeader]: String(leftMs)},
					body: request.hasBody ? request.incoming : null,
					headersTimeout: leftMs,
					bodyTimeout: request.service.requestTimeoutMs,
					signal,
				});
				return {
					type: 'answered', statusCode: answer.statusCode, headers: answer.headers, body: answer.body,
				};
			} catch (error) {
				return classify(error);
			}
		},
		async close() {
			await Promise.all([...pools.values()].map(async pool => pool.close()));
		},
	};
};
