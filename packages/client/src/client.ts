/** Client library: locates an entry host, sends requests, and retries only where that is safe. */

import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request as sendRequest} from 'undici';
import type {LocatedEntry, RunOutcome} from '@egretwing/core';
import {createLocator, type Located} from './locate.ts';
import type {ClientOptions, ClientRequest, ClientResult} from './types.ts';

/** Sends requests. */
export type Client = {
	readonly send: (request: ClientRequest) => Promise<ClientResult>;
	readonly close: () => Promise<void>;
};

const defaults = {
	workspace: '', maxSends: 4, sendTimeoutMs: 5000, resendDelayMs: 50,
};

/** Fills in the defaults of the settings. */
export const resolveConfig = (options: ClientOptions): Required<ClientOptions> => ({...defaults, ...options});

type SendResult = Omit<Extract<ClientResult, {type: 'answered'}>, 'sends'> | Omit<Extract<ClientResult, {type: 'failed'}>, 'sends'>;

const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

const toFailure = (error: unknown): SendResult => {
	const code = (error as {readonly code?: string}).code ?? '';
	const ran: RunOutcome = connectErrorCodes.has(code) ? 'not-run' : 'unknown';
	return {type: 'failed', kind: 'unreachable', ran};
};

/** Idempotency key of one request, the same for each of its attempts. */
type RequestKey = {
	readonly text: string;
	/** Entry host that owns the key. */
	readonly hostId: string;
};

const createKey = (request: ClientRequest, {key}: Located): RequestKey | undefined =>
	request.idempotent || !key ? undefined : {text: key.prefix + randomUUID(), hostId: key.hostId};

const keyHeaders = (key: RequestKey | undefined, sends: number): Readonly<Record<string, string>> =>
	key ? {'idempotency-key': key.text, 'egretwing-first-send': String(sends === 1)} : {};

/** Chooses the owner of the key for the first attempt, then the entries in turn. */
const chooseEntry = ({entries}: Located, key: RequestKey | undefined, sends: number): LocatedEntry | undefined => {
	const owner = sends === 1 ? entries.find(entry => entry.hostId === key?.hostId) : undefined;
	return owner ?? entries[(sends - 1) % Math.max(1, entries.length)];
};

/** Creates a client. */
export const createClient = (options: ClientOptions): Client => {
	const config = resolveConfig(options);
	const clock = {nowMs: () => performance.now()};
	const locator = createLocator(config.locateAddresses, clock);
	const dispatcher = new Agent({connections: 64, pipelining: 1});

	const sendAttempt = async (request: ClientRequest, entry: LocatedEntry, keyHeaders: Readonly<Record<string, string>>): Promise<SendResult> => {
		try {
			const {body} = request;
			const answer = await sendRequest(`http://${entry.address}:${entry.port}${request.path}`, {
				dispatcher,
				method: request.method,
				headers: {...request.headers, 'egretwing-workspace': config.workspace, ...keyHeaders},
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
			return toFailure(error);
		}
	};

	return {
		async send(request) {
			let result: SendResult = {type: 'failed', kind: 'unreachable', ran: 'not-run'};
			// Once an attempt may have run, a later "not-run" holds for its own attempt only.
			let mayHaveRun = false;
			let key: RequestKey | undefined;
			for (let sends = 1; sends <= config.maxSends; sends++) {
				const located = await locator.locate(request.service);
				key ??= createKey(request, located);
				const entry = chooseEntry(located, key, sends);
				if (entry) {
					result = await sendAttempt(request, entry, keyHeaders(key, sends));
				}

				if (result.type === 'answered') {
					return {...result, sends};
				}

				if (result.ran === 'ran') {
					return {...result, sends};
				}

				mayHaveRun ||= result.ran !== 'not-run';
				if (mayHaveRun && !request.idempotent && !key) {
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
