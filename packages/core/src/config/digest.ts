/**
 * A two-level tree of digests over a keyed state, kept up to date one change at a time.
 *
 * Two states that differ in one record are compared with one list of group digests and one of bucket digests.
 */

import {hashText} from '../random.ts';

/** Groups in a tree. */
export const groupCount = 64;

/** Buckets in a group. */
export const bucketsPerGroup = 64;

/** Digests of a keyed state. Each is an unsigned 32-bit sum over the digests of its records. */
export type DigestTree = {
	/** Files `key` under its bucket; to be called once for each key. */
	readonly addKey: (key: string) => void;
	/** Replaces the digest of a record of `key`; 0 stands for none. */
	readonly update: (key: string, previousDigest: number, digest: number) => void;
	readonly rootDigest: () => number;
	readonly groupDigests: () => readonly number[];
	readonly bucketDigests: (group: number) => readonly number[];
	readonly bucketKeys: (bucket: number) => readonly string[];
};

const bucketOf = (key: string): number => hashText(key) % (groupCount * bucketsPerGroup);

/** Creates the tree of an empty state. */
export const createDigestTree = (): DigestTree => {
	const groups = new Uint32Array(groupCount);
	const buckets = new Uint32Array(groupCount * bucketsPerGroup);
	const keys = new Map<number, string[]>();

	return {
		addKey(key) {
			const bucket = bucketOf(key);
			const filed = keys.get(bucket);
			if (filed === undefined) {
				keys.set(bucket, [key]);
				return;
			}

			filed.push(key);
		},
		update(key, previousDigest, digest) {
			const bucket = bucketOf(key);
			const group = Math.floor(bucket / bucketsPerGroup);
			buckets[bucket] = buckets[bucket]! - previousDigest + digest;
			groups[group] = groups[group]! - previousDigest + digest;
		},
		rootDigest: () => hashText(groups.join(',')),
		groupDigests: () => [...groups],
		bucketDigests: group => [...buckets.subarray(group * bucketsPerGroup, (group + 1) * bucketsPerGroup)],
		bucketKeys: bucket => keys.get(bucket) ?? [],
	};
};
