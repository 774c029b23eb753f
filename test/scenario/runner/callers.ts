/** Callers that locate an entry host, send requests and retry them with the same key. */

import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import type {LocatedEntry} from '@egretwing/core';
import {createLocator, type LocateAddress, type Locator} from '@egretwing/client';
import type {KeyUse, LoadLine} from '../language/types.ts';
import type {Attempt, AttemptOutcome, Work} from './observations.ts';

const maxAttempts = 8;
const retryWindowMs = 9000;
const retryDelayMs = 100;
const insistDelayMs = 200;
const keyTimeoutMs = 1000;
const msPerSecond = 1000;

/** One piece of work. */
export type WorkOptions = Pick<LoadLine, 'method' | 'path' | 'keys' | 'resend' | 'timeoutMs'> & {
	readonly service: string;
	readonly id: string;
	readonly index: number;
};

/** A load whose work ids start with its name. */
export type LoadOptions = LoadLine & {
	readonly name: string;
	readonly service: string;
};

/** Callers of one scenario. */
export type Callers = {
	readonly locator: Locator;
	readonly dispatcher: Agent;
	readonly sendWork: (options: WorkOptions) => Promise<Work>;
	/** Sends the same work `times` times through one entry host after another, regardless of the answers. */
	readonly insist: (options: WorkOptions, times: number) => Promise<Work>;
	/** Sends the work through all entry hosts at the same time, with one key. */
	readonly sendEverywhere: (options: WorkOptions) => Promise<Work>;
	/**
	 * Sends work `name-0`, `name-1`, ... at a constant rate until `performance.now()` reaches `untilMs`.
	 * Resolves when all of it has ended.
	 */
	readonly sendLoad: (load: LoadOptions, originMs: number, untilMs: number) => Promise<readonly Work[]>;
	readonly close: () => Promise<void>;
};

const selectEntry = (entries: readonly LocatedEntry[], turn: number): LocatedEntry | undefined => entries[turn % Math.max(1, entries.length)];

const findAnswerFailure = (text: string, options: WorkOptions, target: string): string => {
	try {
		const {workId, path} = JSON.parse(text) as {readonly workId?: string; readonly path?: string};
		return workId === options.id && path === target ? '' : `answer of another request: ${text}`;
	} catch {
		return `answer is incomplete: ${text}`;
	}
};

/** Creates callers that locate entry hosts through `agents`. */
export const createCallers = (agents: readonly [LocateAddress, ...LocateAddress[]]): Callers => {
	const locator = createLocator(agents, {nowMs: () => performance.now()});
	const dispatcher = new Agent({connections: 64, pipelining: 1});

	const sendRequest = async (options: WorkOptions, entry: LocatedEntry, headers: Readonly<Record<string, string>>): Promise<AttemptOutcome> => {
		const target = `${options.path}/${options.id}`;
		try {
			const answer = await request(`http://${entry.address}:${entry.port}${target}`, {
				dispatcher,
				method: options.method,
				headers: {'x-work-id': options.id, 'egretwing-workspace': 'scenario', ...headers},
				body: options.method === 'GET' ? null : '{"work":true}',
				signal: AbortSignal.timeout(options.timeoutMs),
			});
			const text = await answer.body.text();
			const kind = answer.headers['egretwing-kind'];
			if (typeof kind === 'string') {
				return {type: 'refused', kind, ran: String(answer.headers['egretwing-ran'])};
			}

			const failure = answer.statusCode === 200 ? findAnswerFailure(text, options, target) : '';
			return {type: 'answered', statusCode: answer.statusCode, failure};
		} catch (error) {
			return {type: 'lost', reason: String((error as {readonly code?: string}).code ?? error)};
		}
	};

	/** Creates a key from the prefix of the locate answer, or else from a prefix that an entry host issues. */
	const issueKey = async (options: WorkOptions): Promise<string | undefined> => {
		const {entries, key} = await locator.locate(options.service);
		if (key) {
			return `${key.prefix}${options.id}`;
		}

		for (let turn = 0; turn < entries.length; turn++) {
			const {address, port} = selectEntry(entries, options.index + turn)!;
			try {
				const {statusCode, body} = await request(`http://${address}:${port}/.well-known/egretwing/idempotency-key?service=${options.service}`, {
					dispatcher, signal: AbortSignal.timeout(keyTimeoutMs),
				});
				const answer = await body.json() as {readonly keyPrefix?: string};
				if (statusCode === 200 && answer.keyPrefix !== undefined) {
					return `${answer.keyPrefix}${options.id}`;
				}
			} catch {
				locator.forget(options.service);
			}
		}

		return undefined;
	};

	const createKey = async (options: WorkOptions): Promise<string | undefined> => {
		const creators: Readonly<Record<KeyUse, () => Promise<string | undefined>>> = {
			none: async () => undefined,
			plain: async () => options.id,
			issued: async () => issueKey(options),
		};
		return creators[options.keys]();
	};

	const send = async (options: WorkOptions, key: string | undefined, turn: number, isFirst = turn === 0): Promise<Attempt> => {
		const {entries} = await locator.locate(options.service);
		const entry = selectEntry(entries, options.index + turn);
		const requestId = `${options.id}.${turn}`;
		const sentAtMs = Date.now();
		const outcome: AttemptOutcome = entry
			? await sendRequest(options, entry, {
				'x-request-id': requestId,
				...(key !== undefined && {'idempotency-key': key, 'egretwing-first-send': String(isFirst)}),
			})
			: {type: 'lost', reason: 'no entry host located'};
		return {
			requestId, hostId: entry?.hostId ?? '', sentAtMs, endedAtMs: Date.now(), outcome,
		};
	};

	/** True when a retry is wanted and a second run of the work would not be the caller's fault. */
	const canRetry = (options: WorkOptions, key: string | undefined, {outcome}: Attempt): boolean => {
		if (!options.resend || (outcome.type === 'answered' && outcome.failure === '')) {
			return false;
		}

		return options.method === 'GET' || key !== undefined || (outcome.type === 'refused' && outcome.ran === 'not-run');
	};

	const createWork = (options: WorkOptions, purpose: Work['purpose'], beganAtMs: number, attempts: readonly Attempt[]): Work => ({
		id: options.id, method: options.method, path: options.path, keys: options.keys, purpose, beganAtMs, attempts,
	});

	const sendWork = async (options: WorkOptions): Promise<Work> => {
		const beganAtMs = Date.now();
		const key = await createKey(options);
		const attempts: Attempt[] = [];
		while (attempts.length < maxAttempts && Date.now() - beganAtMs < retryWindowMs) {
			const attempt = await send(options, key, attempts.length);
			attempts.push(attempt);
			if (!canRetry(options, key, attempt)) {
				break;
			}

			locator.forget(options.service);
			await delay(retryDelayMs);
		}

		return createWork(options, 'load', beganAtMs, attempts);
	};

	return {
		locator,
		dispatcher,
		sendWork,
		async insist(options, times) {
			const beganAtMs = Date.now();
			const attempts: Attempt[] = [];
			for (let turn = 0; turn < times; turn++) {
				attempts.push(await send(options, undefined, turn));
				await delay(insistDelayMs);
			}

			return createWork(options, 'insist', beganAtMs, attempts);
		},
		async sendEverywhere(options) {
			const beganAtMs = Date.now();
			const {entries} = await locator.locate(options.service);
			const key = await createKey(options);
			const attempts = await Promise.all(entries.map(async (_entry, turn) => send(options, key, turn, false)));
			return createWork(options, 'insist', beganAtMs, attempts);
		},
		async sendLoad(load, originMs, untilMs) {
			const pending: Array<Promise<Work>> = [];
			const endMs = Math.min(untilMs, originMs + load.untilMs);
			const gapMs = msPerSecond / load.ratePerSecond;
			for (let index = 0, dueMs = originMs + load.fromMs; dueMs < endMs; index++, dueMs += gapMs) {
				await delay(Math.max(0, dueMs - performance.now()));
				const id = `${load.name}-${index}`;
				pending.push(sendWork({
					...load, id, index,
				}));
			}

			return Promise.all(pending);
		},
		async close() {
			await dispatcher.destroy();
		},
	};
};
