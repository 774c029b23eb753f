/** Asks agents which entry hosts to use and caches their answers for as long as they are valid. */

import {request} from 'undici';
import * as z from 'zod';
import type {
	Clock, LocateAnswer, LocatedEntry, LocatedKey,
} from '@egretwing/core';
import type {LocateAddress} from './types.ts';

const locateTimeoutMs = 1000;

const answerSchema: z.ZodType<LocateAnswer> = z.object({
	service: z.string(),
	entries: z.array(z.object({
		hostId: z.string(), address: z.string(), port: z.int(), dataCentre: z.string(), incarnation: z.number(),
	})),
	keepMs: z.number(),
	key: z.object({hostId: z.string(), prefix: z.string(), lifetimeMs: z.number()}).optional(),
});

/** Entry hosts of a service and a key prefix for its requests. */
export type Located = {
	readonly entries: readonly LocatedEntry[];
	/** Absent when no key prefix was issued, or once half of its lifetime has passed, as new keys could then expire in use. */
	readonly key?: LocatedKey;
};

/** Finds entry hosts for services. */
export type Locator = {
	/** Entry hosts in the order to try; empty when no agent names any and nothing is cached. */
	readonly locate: (service: string) => Promise<Located>;
	/**
	 * Expires the cached answer for `service` after an entry host failed; the next agent is asked first.
	 * The expired answer is still used when no agent names an entry host.
	 */
	readonly forget: (service: string) => void;
};

const requestLocate = async ({address, port}: LocateAddress, service: string): Promise<LocateAnswer | undefined> => {
	try {
		const {statusCode, body} = await request(`http://${address}:${port}/v1/locate?service=${encodeURIComponent(service)}`, {
			signal: AbortSignal.timeout(locateTimeoutMs),
		});
		const responseBody: unknown = await body.json();
		return statusCode === 200 ? answerSchema.parse(responseBody) : undefined;
	} catch {
		return undefined;
	}
};

/** Creates a locator that asks the agents at `addresses` one after another, starting with the one that answered last. */
export const createLocator = (addresses: readonly LocateAddress[], clock: Clock): Locator => {
	const cache = new Map<string, {readonly answer: LocateAnswer; readonly atMs: number; readonly untilMs: number}>();
	let preferred = 0;

	const toLocated = ({entries, key}: LocateAnswer, atMs: number): Located => {
		const isFresh = key !== undefined && clock.nowMs() - atMs < key.lifetimeMs / 2;
		return {entries, ...(isFresh && {key})};
	};

	return {
		async locate(service) {
			const cached = cache.get(service);
			if (cached && clock.nowMs() < cached.untilMs) {
				return toLocated(cached.answer, cached.atMs);
			}

			for (let offset = 0; offset < addresses.length; offset++) {
				const index = (preferred + offset) % addresses.length;
				const requestedAtMs = clock.nowMs();
				const answer = await requestLocate(addresses[index]!, service);
				if (answer && answer.entries.length > 0) {
					preferred = index;
					cache.set(service, {answer, atMs: requestedAtMs, untilMs: clock.nowMs() + answer.keepMs});
					return toLocated(answer, requestedAtMs);
				}
			}

			return cached ? toLocated(cached.answer, cached.atMs) : {entries: []};
		},
		forget(service) {
			const cached = cache.get(service);
			if (cached) {
				cache.set(service, {...cached, untilMs: 0});
			}

			preferred = (preferred + 1) % addresses.length;
		},
	};
};
