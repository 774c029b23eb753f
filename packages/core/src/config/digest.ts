/**
 * A two-level tree of digests over a keyed state, updated incrementally with each change.
 *
 * A single record that differs between two states is found with one list of group digests and one of bucket digests.
 */

import {hashText} from '../random.ts';

/** Number of groups in a tree. */
export const groupCount = 64;

/** Number of buckets in a group. */
export const bucketsPerGroup = 64;

/** Digests of a keyed state. That of a group or bucket is the unsigned 32-bit sum of the digests of its records. */
export type DigestTree = {
	/** Adds `key` to its bucket; to be called once for each key. */
	readonly addKey: (key: string) => void;
	/** Replaces the digest of a record of `key`; 0 means no record. */
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
			const bucketKeys = keys.get(bucket);
			if (bucketKeys === undefined) {
				keys.set(bucket, [key]);
				return;
			}

			bucketKeys.push(key);
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
