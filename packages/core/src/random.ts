/**
 * Seeded pseudo-random numbers and a stable string hash.
 *
 * Every random decision of the core takes a `Random`, so that a run can be reproduced from its seed.
 */

/** A generator of uniformly distributed numbers in [0, 1). */
export type Random = {
	readonly next: () => number;
};

const uint32Range = 0x1_00_00_00_00;

/** Creates a generator (mulberry32) that yields the same sequence for the same `seed`. */
export const createRandom = (seed: number): Random => {
	/* eslint-disable no-bitwise */
	let state = seed >>> 0;
	return {
		next() {
			state = (state + 0x6D_2B_79_F5) >>> 0;
			let mixed = Math.imul(state ^ (state >>> 15), state | 1);
			mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
			return ((mixed ^ (mixed >>> 14)) >>> 0) / uint32Range;
		},
	};
	/* eslint-enable no-bitwise */
};

/** Picks up to `count` of `items` at random, each at most once. */
export const sampleItems = <Item>(items: readonly Item[], count: number, random: Random): readonly Item[] => {
	const rest = [...items];
	const drawn: Item[] = [];
	while (drawn.length < count && rest.length > 0) {
		drawn.push(...rest.splice(Math.floor(random.next() * rest.length), 1));
	}

	return drawn;
};

/** Hashes `text` to an unsigned 32-bit integer (FNV-1a with a final avalanche). Stable across processes and versions. */
export const hashText = (text: string): number => {
	/* eslint-disable no-bitwise */
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < text.length; index++) {
		hash ^= text.charCodeAt(index); // eslint-disable-line unicorn/prefer-code-point
		hash = Math.imul(hash, 0x01_00_01_93);
	}

	hash ^= hash >>> 16;
	hash = Math.imul(hash, 0x85_EB_CA_6B);
	hash ^= hash >>> 13;
	hash = Math.imul(hash, 0xC2_B2_AE_35);
	hash ^= hash >>> 16;
	return hash >>> 0;
	/* eslint-enable no-bitwise */
};
