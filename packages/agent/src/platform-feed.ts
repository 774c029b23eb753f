/** Follows the configuration service and the host list of the platform by long polling. */

import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import type * as z from 'zod';
import {
	configPageSchema, hostListSchema, type ConfigPage, type HostList,
} from '@egretwing/core';
import type {Logger} from '@egretwing/node';

const longPollMs = 20_000;
const responseMarginMs = 5000;
const retryDelayMs = 500;
const pausedCheckIntervalMs = 100;

/** Follows one published resource until stopped. */
export type Feed = {
	readonly stop: () => void;
};

type FeedOptions<T> = {
	/** URL to request after `position`. */
	readonly urlAt: (position: number) => string;
	readonly schema: z.ZodType<T>;
	readonly positionOf: (response: T) => number;
	readonly onResponse: (response: T) => void;
	readonly onFailure: () => void;
	/** While this returns false, the resource is not read. */
	readonly isWanted: () => boolean;
	readonly logger: Logger;
};

const fetchJson = async <T>(url: string, schema: z.ZodType<T>, signal: AbortSignal): Promise<T> => {
	const {statusCode, body} = await request(url, {signal, headersTimeout: longPollMs + responseMarginMs});
	const written: unknown = await body.json();
	if (statusCode !== 200) {
		throw new Error(`status ${statusCode}`);
	}

	return schema.parse(written);
};

const createFeed = <T>(options: FeedOptions<T>): Feed => {
	const abort = new AbortController();
	let position = 0;

	const poll = async (): Promise<void> => {
		try {
			const response = await fetchJson(options.urlAt(position), options.schema, abort.signal);
			position = options.positionOf(response);
			options.onResponse(response);
		} catch (error) {
			if (abort.signal.aborted) {
				return;
			}

			options.onFailure();
			options.logger.warn('request to platform failed', {url: options.urlAt(position), error: String(error)});
			await delay(retryDelayMs);
		}
	};

	const follow = async (): Promise<void> => {
		while (!abort.signal.aborted) {
			await (options.isWanted() ? poll() : delay(pausedCheckIntervalMs));
		}
	};

	void follow();
	return {
		stop() {
			abort.abort();
		},
	};
};

/** Handlers for the responses of the configuration service. */
export type RecordsHandlers = {
	readonly onPage: (page: ConfigPage) => void;
	readonly onFailure: () => void;
	/** While this returns false, the service is not read. */
	readonly isWanted: () => boolean;
};

/** Follows the configuration records; calls `onPage` with each page. */
export const followRecords = (baseUrl: string, handlers: RecordsHandlers, logger: Logger): Feed => createFeed({
	urlAt: position => `${baseUrl}/v1/records?after=${position}&waitMs=${longPollMs}`,
	schema: configPageSchema,
	positionOf: page => page.position,
	onResponse: handlers.onPage,
	onFailure: handlers.onFailure,
	isWanted: handlers.isWanted,
	logger,
});

/** Follows the host list; calls `onHosts` with each version. */
export const followHosts = (baseUrl: string, onHosts: (hosts: HostList) => void, logger: Logger): Feed => createFeed({
	urlAt: sequence => `${baseUrl}/v1/hosts?after=${sequence}&waitMs=${longPollMs}`,
	schema: hostListSchema,
	positionOf: hosts => hosts.sequence,
	onResponse: onHosts,
	onFailure() {
		// The membership continues without the list.
	},
	isWanted: () => true,
	logger,
});
