/**
 * The bounded store for idempotency keys.
 *
 * A key is kept until it expires and its run has ended, and is never evicted earlier: a full store refuses new keys. Space
 * for the key itself is reserved when it is added; an answer that doesn't fit is not stored.
 */

import {bytesPerCharacter, expiryIntervalMs, keyOverheadBytes} from './constants.ts';
import type {AtMostOnceConfig, StoredAnswer} from './types.ts';

/** State of the run of a stored key. */
export type KeyState
	= | {readonly type: 'pending'}
		| {readonly type: 'written'}
		| {readonly type: 'ran'; readonly answer?: StoredAnswer}
		| {readonly type: 'unknown'};

/** A stored key. */
export type KeyRecord = {
	readonly id: string;
	readonly workspace: string;
	readonly fingerprint: string;
	/** Digest of the body; absent until the whole body has been read. */
	readonly bodyDigest?: string;
	readonly expiresAtMs: number;
	readonly state: KeyState;
};

/** The keys of one entry process. */
export type KeyStore = {
	readonly get: (id: string) => KeyRecord | undefined;
	/** Stores a new key; returns false if there is no space for it. */
	readonly add: (record: KeyRecord) => boolean;
	/** Replaces the state or the digest of a stored key. */
	readonly update: (id: string, change: Partial<Pick<KeyRecord, 'state' | 'bodyDigest'>>) => void;
	/** Removes a key that did not run. */
	readonly remove: (id: string) => void;
	/** Removes expired keys whose run has ended. */
	readonly purge: (nowMs: number) => void;
	/** Number of stored keys and the bytes counted for them. */
	readonly usage: () => {readonly keys: number; readonly bytes: number};
};

const answerBytes = (answer: StoredAnswer): number => {
	let bytes = answer.body.byteLength;
	for (const text of answer.headers) {
		bytes += text.length * bytesPerCharacter;
	}

	return bytes;
};

const recordBytes = (record: KeyRecord): number => {
	const stored = record.state.type === 'ran' && record.state.answer ? answerBytes(record.state.answer) : 0;
	const text = record.id.length + record.workspace.length + record.fingerprint.length;
	return keyOverheadBytes + (text * bytesPerCharacter) + stored;
};

const isEnded = (state: KeyState): boolean => state.type === 'ran' || state.type === 'unknown';

const expiryIntervalOf = (timeMs: number): number => Math.ceil(timeMs / expiryIntervalMs);

/** Creates an empty store. */
export const createKeyStore = (config: AtMostOnceConfig): KeyStore => {
	const records = new Map<string, KeyRecord>();
	const keysByWorkspace = new Map<string, number>();
	const idsByInterval = new Map<number, string[]>();
	let purgedInterval: number | undefined;
	let bytes = 0;

	const countWorkspace = (workspace: string, change: number): void => {
		const count = (keysByWorkspace.get(workspace) ?? 0) + change;
		if (count > 0) {
			keysByWorkspace.set(workspace, count);
		} else {
			keysByWorkspace.delete(workspace);
		}
	};

	const schedule = (id: string, interval: number): void => {
		const ids = idsByInterval.get(interval);
		if (ids) {
			ids.push(id);
		} else {
			idsByInterval.set(interval, [id]);
		}
	};

	const remove = (id: string): void => {
		const record = records.get(id);
		if (!record) {
			return;
		}

		records.delete(id);
		bytes -= recordBytes(record);
		countWorkspace(record.workspace, -1);
	};

	const hasRoom = (record: KeyRecord): boolean => {
		const workspaceKeys = keysByWorkspace.get(record.workspace) ?? 0;
		return records.size < config.maxKeys
			&& workspaceKeys < config.maxKeys * config.workspaceShare
			&& bytes + recordBytes(record) <= config.maxBytes;
	};

	const withRoomForAnswer = (current: KeyRecord, next: KeyRecord): KeyRecord => {
		if (next.state.type !== 'ran' || !next.state.answer) {
			return next;
		}

		const fits = bytes - recordBytes(current) + recordBytes(next) <= config.maxBytes;
		return fits && answerBytes(next.state.answer) <= config.maxAnswerBytes ? next : {...next, state: {type: 'ran'}};
	};

	const purgeInterval = (interval: number, currentInterval: number): void => {
		const ids = idsByInterval.get(interval) ?? [];
		idsByInterval.delete(interval);
		for (const id of ids) {
			const record = records.get(id);
			// A key that was removed and added again is also listed under its new interval.
			if (!record || expiryIntervalOf(record.expiresAtMs) >= currentInterval) {
				continue;
			}

			if (isEnded(record.state)) {
				remove(id);
			} else {
				schedule(id, currentInterval);
			}
		}
	};

	return {
		get: id => records.get(id),
		add(record) {
			if (!hasRoom(record)) {
				return false;
			}

			records.set(record.id, record);
			bytes += recordBytes(record);
			countWorkspace(record.workspace, 1);
			schedule(record.id, expiryIntervalOf(record.expiresAtMs));
			return true;
		},
		update(id, change) {
			const current = records.get(id);
			if (!current) {
				return;
			}

			const next = withRoomForAnswer(current, {...current, ...change});
			bytes += recordBytes(next) - recordBytes(current);
			records.set(id, next);
		},
		remove,
		purge(nowMs) {
			const currentInterval = expiryIntervalOf(nowMs);
			if (purgedInterval === currentInterval) {
				return;
			}

			purgedInterval = currentInterval;
			for (const interval of idsByInterval.keys()) {
				if (interval < currentInterval) {
					purgeInterval(interval, currentInterval);
				}
			}
		},
		usage: () => ({keys: records.size, bytes}),
	};
};
