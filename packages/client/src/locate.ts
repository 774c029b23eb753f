/** Asks agents which entry hosts to use and keeps the answer for as long as it holds. */

import {request} from 'undici';
import {z} from 'zod';
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

/** Where to send requests for a service. */
export type Located = {
	readonly entries: readonly LocatedEntry[];
	/** Absent when no key was handed out, or once keys of this prefix would expire. */
	readonly key?: LocatedKey;
};

/** Finds entry hosts for services. */
export type Locator = {
	/** Entry hosts in the order to try; empty when no agent answers and nothing is kept. */
	readonly locate: (service: string) => Promise<Located>;
	/** Forgets what is kept for `service`, after an entry host failed. */
	readonly forget: (service: string) => void;
};

const ask = async ({address, port}: LocateAddress, service: string): Promise<LocateAnswer | undefined> => {
	try {
		const {statusCode, body} = await request(`http://${address}:${port}/v1/locate?service=${encodeURIComponent(service)}`, {
			signal: AbortSignal.timeout(locateTimeoutMs),
		});
		const written: unknown = await body.json();
		return statusCode === 200 ? answerSchema.parse(written) : undefined;
	} catch {
		return undefined;
	}
};

/** Creates a locator that asks `addresses` one after another, beginning with the one that answered last. */
export const createLocator = (addresses: readonly LocateAddress[], clock: Clock): Locator => {
	const kept = new Map<string, {readonly answer: LocateAnswer; readonly atMs: number; readonly untilMs: number}>();
	let preferred = 0;

	const toLocated = ({entries, key}: LocateAnswer, atMs: number): Located => {
		const isFresh = key !== undefined && clock.nowMs() - atMs < key.lifetimeMs / 2;
		return {entries, ...(isFresh && {key})};
	};

	return {
		async locate(service) {
			const known = kept.get(service);
			if (known && clock.nowMs() < known.untilMs) {
				return toLocated(known.answer, known.atMs);
			}

			for (let offset = 0; offset < addresses.length; offset++) {
				const index = (preferred + offset) % addresses.length;
				const askedAtMs = clock.nowMs();
				const answer = await ask(addresses[index]!, service);
				if (answer && answer.entries.length > 0) {
					preferred = index;
					kept.set(service, {answer, atMs: askedAtMs, untilMs: clock.nowMs() + answer.keepMs});
					return toLocated(answer, askedAtMs);
				}
			}

			return known ? toLocated(known.answer, known.atMs) : {entries: []};
		},
		forget(service) {
			const known = kept.get(service);
			if (known) {
				kept.set(service, {...known, untilMs: 0});
			}

			preferred = (preferred + 1) % addresses.length;
		},
	};
};
