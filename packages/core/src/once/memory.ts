/**
 * The bounded memory for idempotency keys.
 *
 * A key is kept until it expires and its run has ended, and is never dropped earlier to make room: a full memory
 * refuses new keys. Room for the bookkeeping of a key is taken when it is admitted; an answer that finds no room is not
 * kept.
 */

import {bytesPerCharacter, expiryIntervalMs, keyOverheadBytes} from './constants.ts';
import type {AtMostOnceConfig, StoredAnswer} from './types.ts';

/** How far the run of a remembered key has come. */
export type KeyState
	= | {readonly type: 'pending'}
		| {readonly type: 'written'}
		| {readonly type: 'ran'; readonly answer?: StoredAnswer}
		| {readonly type: 'unknown'};

/** What is remembered of a key. */
export type KeyRecord = {
	readonly id: string;
	readonly workspace: string;
	readonly fingerprint: string;
	/** Digest of the body, once the whole body has passed. */
	readonly bodyDigest?: string;
	readonly expiresAtMs: number;
	readonly state: KeyState;
};

/** The memory of one entry process. */
export type KeyMemory = {
	readonly get: (id: string) => KeyRecord | undefined;
	/** Remembers a new key; false when there is no room for it. */
	readonly add: (record: KeyRecord) => boolean;
	/** Replaces the state or the digest of a remembered key. */
	readonly update: (id: string, change: Partial<Pick<KeyRecord, 'state' | 'bodyDigest'>>) => void;
	/** Forgets a key that did not run. */
	readonly remove: (id: string) => void;
	/** Drops expired keys whose run has ended. */
	readonly purge: (nowMs: number) => void;
	/** Remembered keys and the bytes counted for them. */
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

const intervalOf = (timeMs: number): number => Math.ceil(timeMs / expiryIntervalMs);

/** Creates an empty memory. */
export const createKeyMemory = (config: AtMostOnceConfig): KeyMemory => {
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
			// A key that was removed and admitted again stands in the list of its new interval, too.
			if (!record || intervalOf(record.expiresAtMs) >= currentInterval) {
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
			schedule(record.id, intervalOf(record.expiresAtMs));
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
			const currentInterval = intervalOf(nowMs);
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
