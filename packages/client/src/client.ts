/** A caller's library: locates an entry host, sends, and sends again only where that is safe. */

import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request as sendRequest} from 'undici';
import type {LocatedEntry, RunOutcome} from '@egretwing/core';
import {createLocator} from './locate.ts';
import type {ClientOptions, ClientRequest, ClientResult} from './types.ts';

/** Sends requests. */
export type Client = {
	readonly send: (request: ClientRequest) => Promise<ClientResult>;
	readonly close: () => Promise<void>;
};

const defaults = {
	workspace: '', maxSends: 4, sendTimeoutMs: 5000, resendDelayMs: 50,
};

/** Fills the defaults of the settings. */
export const resolveConfig = (options: ClientOptions): Required<ClientOptions> => ({...defaults, ...options});

type SendResult = Omit<Extract<ClientResult, {type: 'answered'}>, 'sends'> | Omit<Extract<ClientResult, {type: 'failed'}>, 'sends'>;

const connectFailures = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

const failureOf = (error: unknown): SendResult => {
	const code = (error as {readonly code?: string}).code ?? '';
	const ran: RunOutcome = connectFailures.has(code) ? 'not-run' : 'unknown';
	return {type: 'failed', kind: 'unreachable', ran};
};

/** Creates a client. */
export const createClient = (options: ClientOptions): Client => {
	const config = resolveConfig(options);
	const clock = {nowMs: () => performance.now()};
	const locator = createLocator(config.locateAddresses, clock);
	const dispatcher = new Agent({connections: 64, pipelining: 1});

	const sendOnce = async (request: ClientRequest, entry: LocatedEntry): Promise<SendResult> => {
		try {
			const {body} = request;
			const answer = await sendRequest(`http://${entry.address}:${entry.port}${request.path}`, {
				dispatcher,
				method: request.method,
				headers: {...request.headers, 'egretwing-workspace': config.workspace},
				body: typeof body === 'function' ? body() : body,
				headersTimeout: config.sendTimeoutMs,
			});
			const kind = answer.headers['egretwing-kind'];
			if (typeof kind !== 'string') {
				return {
					type: 'answered', statusCode: answer.statusCode, headers: answer.headers, body: answer.body,
				};
			}

			await answer.body.dump();
			return {type: 'failed', kind, ran: answer.headers['egretwing-ran'] as RunOutcome};
		} catch (error) {
			return failureOf(error);
		}
	};

	return {
		async send(request) {
			let result: SendResult = {type: 'failed', kind: 'unreachable', ran: 'not-run'};
			// Once a send may have run, a later "not run" speaks of its own send only.
			let mayHaveRun = false;
			for (let sends = 1; sends <= config.maxSends; sends++) {
				const entries = await locator.locate(request.service);
				const entry = entries[(sends - 1) % Math.max(1, entries.length)];
				if (entry) {
					result = await sendOnce(request, entry);
				}

				if (result.type === 'answered') {
					return {...result, sends};
				}

				mayHaveRun ||= result.ran !== 'not-run';
				if (mayHaveRun && !request.idempotent) {
					return {...result, ran: 'unknown', sends};
				}

				locator.forget(request.service);
				await delay(config.resendDelayMs);
			}

			return {...result, ...(mayHaveRun && {ran: 'unknown' as const}), sends: config.maxSends};
		},
		async close() {
			await dispatcher.close();
		},
	};
};
