/** State of the platform stand-in: a log of records as published, and a log of host lists. */

import {Buffer} from 'node:buffer';
import type {ConfigPage, Host, HostList} from '@egretwing/core';

type LogEntry = {
	readonly position: number;
	readonly key: string;
	readonly record: unknown;
	readonly sizeBytes: number;
};

/** Store that readers are served from. Positions and sequences count from 1. */
export type PlatformStore = {
	readonly putRecords: (records: readonly unknown[]) => number;
	readonly putHosts: (hosts: readonly Host[]) => number;
	readonly position: () => number;
	readonly sequence: () => number;
	/** Records whose last write lies in (`after`, `upTo`], oldest first, up to the page size. */
	readonly page: (after: number, upTo: number) => ConfigPage;
	readonly hosts: (upTo: number) => HostList;
};

const text = (value: unknown): string => typeof value === 'string' ? value : '';

const recordKey = (record: unknown, position: number): string => {
	if (typeof record !== 'object' || record === null) {
		return `#${position}`;
	}

	const {kind, removedKind, name} = record as Readonly<Record<string, unknown>>;
	const keyKind = text(removedKind) || text(kind);
	return keyKind === '' || text(name) === '' ? `#${position}` : `${keyKind}/${text(name)}`;
};

/** Creates an empty store. */
export const createPlatformStore = (maxPageBytes: number): PlatformStore => {
	const log: LogEntry[] = [];
	const lists: HostList[] = [{sequence: 0, hosts: []}];

	const latestByKey = (upTo: number): readonly LogEntry[] => {
		const latest = new Map<string, LogEntry>();
		for (const entry of log.slice(0, upTo)) {
			latest.set(entry.key, entry);
		}

		return [...latest.values()].toSorted((a, b) => a.position - b.position);
	};

	return {
		putRecords(records) {
			for (const record of records) {
				const position = log.length + 1;
				log.push({
					position, key: recordKey(record, position), record, sizeBytes: Buffer.byteLength(JSON.stringify(record)),
				});
			}

			return log.length;
		},
		putHosts(hosts) {
			const sequence = lists.length;
			lists.push({sequence, hosts});
			return sequence;
		},
		position: () => log.length,
		sequence: () => lists.length - 1,
		page(after, upTo) {
			const logEntries = latestByKey(upTo).filter(entry => entry.position > after);
			const records: unknown[] = [];
			let pageBytes = 0;
			let position = upTo;
			for (const entry of logEntries) {
				if (records.length > 0 && pageBytes + entry.sizeBytes > maxPageBytes) {
					return {position, complete: false, records};
				}

				pageBytes += entry.sizeBytes;
				position = entry.position;
				records.push(entry.record);
			}

			return {position: upTo, complete: true, records};
		},
		hosts: upTo => lists[Math.min(upTo, lists.length - 1)] ?? {sequence: 0, hosts: []},
	};
};
