/** A fake of the platform's store with its HTTP interface for keys, ranges and watches. */

import {Buffer} from 'node:buffer';
import http from 'node:http';
import {listen, sendJson} from '@egretwing/node';

type Item = {
	readonly key: string;
	readonly revision: number;
	/** Undefined once the key is removed. */
	readonly value: string | undefined;
};

/** A running store. */
export type SoakStore = {
	readonly put: (key: string, value: unknown) => void;
	readonly remove: (key: string) => void;
	/** While true, every call is rejected with status 503. */
	readonly setBusy: (isBusy: boolean) => void;
	/** Addresses that have called since the last question. */
	readonly takeCallers: () => ReadonlySet<string>;
	readonly close: () => void;
};

const busyStatusCode = 503;

/** Starts the store on `address` and `port`. */
export const createSoakStore = async (address: string, port: number): Promise<SoakStore> => {
	const items = new Map<string, Item>();
	const waiting = new Set<() => void>();
	let revision = 1;
	let isBusy = false;
	let callers = new Set<string>();

	const write = (key: string, value: string | undefined): void => {
		revision++;
		items.set(key, {key, revision, value});
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
