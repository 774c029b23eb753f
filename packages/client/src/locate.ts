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

/** Finds entry hosts for services. */
export type Locator = {
	/** Entry hosts in the order to try; empty when no agent answers and nothing is kept. */
	readonly locate: (service: string) => Promise<readonly LocatedEntry[]>;
	/** Prefix of idempotency keys as last located; `undefined` when none was handed out or its keys would expire soon. */
	readonly keyOf: (service: string) => LocatedKey | undefined;
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
	return {
		async locate(service) {
			const known = kept.get(service);
			if (known && clock.nowMs() < known.untilMs) {
				return known.answer.entries;
			}

			for (let offset = 0; offset < addresses.length; offset++) {
				const index = (preferred + offset) % addresses.length;
				const askedAtMs = clock.nowMs();
				const answer = await ask(addresses[index]!, service);
				if (answer && answer.entries.length > 0) {
					preferred = index;
					kept.set(service, {answer, atMs: askedAtMs, untilMs: clock.nowMs() + answer.keepMs});
					return answer.entries;
				}
			}

			return known?.answer.entries ?? [];
		},
		keyOf(service) {
			const known = kept.get(service);
			const key = known?.answer.key;
			const isFresh = known !== undefined && key !== undefined && clock.nowMs() - known.atMs < key.lifetimeMs / 2;
			return isFresh ? key : undefined;
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
