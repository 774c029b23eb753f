/** Follows the platform's configuration service and host list by long polls. */

import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import type {z} from 'zod';
import {
	configPageSchema, hostListSchema, type ConfigPage, type HostList,
} from '@egretwing/core';
import type {Logger} from '@egretwing/node';

const waitMs = 20_000;
const answerMarginMs = 5000;
const retryDelayMs = 500;
const idleCheckMs = 100;

/** Follows one published resource until stopped. */
export type Feed = {
	readonly stop: () => void;
};

type FeedOptions<T> = {
	/** URL to ask, given the position reached. */
	readonly urlAt: (position: number) => string;
	readonly schema: z.ZodType<T>;
	readonly positionOf: (answer: T) => number;
	readonly onAnswer: (answer: T) => void;
	readonly onFailure: () => void;
	/** While false the resource is not read. */
	readonly isWanted: () => boolean;
	readonly logger: Logger;
};

const fetchAnswer = async <T>(url: string, schema: z.ZodType<T>, signal: AbortSignal): Promise<T> => {
	const {statusCode, body} = await request(url, {signal, headersTimeout: waitMs + answerMarginMs});
	const written: unknown = await body.json();
	if (statusCode !== 200) {
		throw new Error(`status ${statusCode}`);
	}

	return schema.parse(written);
};

const createFeed = <T>(options: FeedOptions<T>): Feed => {
	const abort = new AbortController();
	let position = 0;

	const readOnce = async (): Promise<void> => {
		try {
			const answer = await fetchAnswer(options.urlAt(position), options.schema, abort.signal);
			position = options.positionOf(answer);
			options.onAnswer(answer);
		} catch (error) {
			if (abort.signal.aborted) {
				return;
			}

			options.onFailure();
			options.logger.warn('platform can not be read', {url: options.urlAt(position), error: String(error)});
			await delay(retryDelayMs);
		}
	};

	const follow = async (): Promise<void> => {
		while (!abort.signal.aborted) {
			await (options.isWanted() ? readOnce() : delay(idleCheckMs));
		}
	};

	void follow();
	return {
		stop() {
			abort.abort();
		},
	};
};

/** Takes what the configuration service answers. */
export type RecordsHandlers = {
	readonly onPage: (page: ConfigPage) => void;
	readonly onFailure: () => void;
	/** While false the service is not read. */
	readonly isWanted: () => boolean;
};

/** Follows the configuration records; `onPage` gets each page as it comes. */
export const followRecords = (baseUrl: string, handlers: RecordsHandlers, logger: Logger): Feed => createFeed({
	urlAt: position => `${baseUrl}/v1/records?after=${position}&waitMs=${waitMs}`,
	schema: configPageSchema,
	positionOf: page => page.position,
	onAnswer: handlers.onPage,
	onFailure: handlers.onFailure,
	isWanted: handlers.isWanted,
	logger,
});

/** Follows the host list; `onHosts` gets each version as it comes. */
export const followHosts = (baseUrl: string, onHosts: (hosts: HostList) => void, logger: Logger): Feed => createFeed({
	urlAt: sequence => `${baseUrl}/v1/hosts?after=${sequence}&waitMs=${waitMs}`,
	schema: hostListSchema,
	positionOf: hosts => hosts.sequence,
	onAnswer: onHosts,
	onFailure() {
		// The membership goes on without the list.
	},
	isWanted: () => true,
	logger,
});
