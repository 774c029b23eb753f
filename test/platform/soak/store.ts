/** A fake of the platform's store with its HTTP interface for keys, ranges and watches. */

import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {listen, sendJson} from '@egretwing/node';

type Item = {
	readonly key: string;
	readonly revision: number;
	/** Undefined once the key is removed. */
	readonly value: string | undefined;
};

/** A write that the store has lost; without a value, a removal. */
export type LostWrite = {readonly key: string; readonly value: string | undefined; readonly era: number};

/** A running store. */
export type SoakStore = {
	readonly put: (key: string, value: unknown) => void;
	readonly remove: (key: string) => void;
	/** While true, every call is rejected with status 503. */
	readonly setBusy: (isBusy: boolean) => void;
	/**
	 * Comes back from a copy that is `ageMs` old, in the next era: all connections end, what was written since is gone and its revisions are
	 * given out again. Returns what was lost, the newest write of each key. Only for a store that names its era.
	 */
	readonly restoreCopy: (ageMs: number) => readonly LostWrite[];
	/** Writes again what was lost, unless its key has been written since. */
	readonly rewrite: (lost: LostWrite) => void;
	/** Addresses that have called since the last question. */
	readonly takeCallers: () => ReadonlySet<string>;
	readonly close: () => void;
};

const busyStatusCode = 503;
const goneStatusCode = 410;
const eraHeader = 'Store-Era';

/** Starts the store on `address` and `port`; with `firstEra`, its answers name their era, and it can come back from an older copy. */
export const createSoakStore = async (address: string, port: number, firstEra?: number): Promise<SoakStore> => {
	const items = new Map<string, Item>();
	const waiting = new Set<() => void>();
	/** All writes that are not lost, oldest first, while the store has eras. */
	let writes: Array<{readonly atMs: number; readonly item: Item; readonly era: number}> = [];
	let revision = 1;
	let era = firstEra;
	let isBusy = false;
	let callers = new Set<string>();

	const write = (key: string, value: string | undefined): void => {
		revision++;
		const item = {key, revision, value};
		items.set(key, item);
		if (era !== undefined) {
			writes.push({atMs: performance.now(), item, era});
		}

		for (const wake of waiting) {
			wake();
		}
	};

	const toWire = (item: Item) => item.value === undefined
		? {key: item.key, revision: item.revision, tombstone: true}
		: {
			key: item.key, value: item.value, revision: item.revision, created: item.revision, lease: 0,
		};

	const watch = async (prefix: string, after: number, waitMs: number) => {
		const found = () => [...items.values()].filter(item => item.key.startsWith(prefix) && item.revision > after);
		if (found().length === 0) {
			await new Promise<void>(resolve => {
				const wake = (): void => {
					if (found().length > 0) {
						end();
					}
				};

				const timer = setTimeout(() => {
					end();
				}, waitMs);
				const end = (): void => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				waiting.add(wake);
			});
		}

		return {events: found().map(item => toWire(item)), as_of: revision};
	};

	const server = http.createServer(async (request, response) => {
		callers.add(request.socket.remoteAddress ?? '');
		const url = new URL(request.url ?? '/', 'http://store');
		const query = (name: string): string => url.searchParams.get(name) ?? '';
		if (era !== undefined) {
			response.setHeader(eraHeader, era);
		}

		if (isBusy) {
			sendJson(response, busyStatusCode, {});
			return;
		}

		switch (url.pathname) {
			case '/kv-key': {
				const item = items.get(query('key'));
				sendJson(response, item?.value === undefined ? 404 : 200, item === undefined ? {} : {...toWire(item), as_of: revision});
				return;
			}

			case '/kv-range': {
				const found = [...items.values()].filter(item => item.key.startsWith(query('prefix')) && item.value !== undefined);
				sendJson(response, 200, {items: found.map(item => toWire(item)), truncated: false, as_of: revision});
				return;
			}

			default: {
				if (Number(query('after')) > revision) {
					sendJson(response, goneStatusCode, {});
					return;
				}

				sendJson(response, 200, await watch(query('prefix'), Number(query('after')), Number(query('wait_ms'))));
			}
		}
	});
	await listen(server, port, address);

	return {
		put(key, value) {
			write(key, Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		remove(key) {
			write(key, undefined);
		},
		setBusy(next) {
			isBusy = next;
		},
		restoreCopy(ageMs) {
			const lostEra = era!;
			const sinceMs = performance.now() - ageMs;
			const lost = writes.filter(({atMs}) => atMs >= sinceMs).map(({item}) => item);
			writes = writes.filter(({atMs}) => atMs < sinceMs);
			items.clear();
			revision = 1;
			for (const {item} of writes) {
				items.set(item.key, item);
				revision = item.revision;
			}

			era = lostEra + 1;
			server.closeAllConnections();
			return [...new Map(lost.map(item => [item.key, item])).values()].map(({key, value}) => ({key, value, era: lostEra}));
		},
		rewrite({key, value, era: lostEra}) {
			if (!writes.some(written => written.item.key === key && written.era > lostEra)) {
				write(key, value);
			}
		},
		takeCallers() {
			const taken = callers;
			callers = new Set();
			return taken;
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};
