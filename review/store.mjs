/* eslint-disable camelcase -- names of the wire; steps in series */
/** A stand-in for the platform's metadata store. */

import {Buffer} from 'node:buffer';
import http from 'node:http';
import {findFreePort} from './run.mjs';

const sendJson = (response, statusCode, body) => {
	const text = JSON.stringify(body);
	response.writeHead(statusCode, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
};

/** Starts the store on `address`. */
export const startStore = async (run, address) => {
	const items = new Map();
	const waiting = new Set();
	let revision = 1;
	let isSilent = false;

	const write = (key, value) => {
		revision++;
		const created = items.get(key)?.value === undefined ? revision : items.get(key).created;
		items.set(key, {
			key, revision, created, value,
		});
		for (const wake of waiting) {
			wake();
		}

		return revision;
	};

	const toWire = ({key, revision: itemRevision, created, value}) => value === undefined
		? {key, revision: itemRevision, tombstone: true}
		: {
			key, value, revision: itemRevision, created, lease: 0,
		};

	const watch = async (prefix, after, waitMs) => {
		const find = () => [...items.values()].filter(item => item.key.startsWith(prefix) && item.revision > after);
		if (find().length === 0) {
			await new Promise(resolve => {
				const end = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const wake = () => {
					if (find().length > 0) {
						end();
					}
				};

				const timer = setTimeout(end, waitMs);
				waiting.add(wake);
			});
		}

		return {events: find().toSorted((left, right) => left.revision - right.revision).map(item => toWire(item)), as_of: revision};
	};

	/** Connections on which an answer was lost: they return nothing any more. */
	const lostSockets = new WeakSet();
	const watchedAtMs = new Map();
	const server = http.createServer(async (request, response) => {
		const {searchParams, pathname} = new URL(request.url, 'http://store');
		const {socket} = request;
		const reply = (statusCode, body) => {
			if (isSilent || lostSockets.has(socket)) {
				lostSockets.add(socket);
				return;
			}

			sendJson(response, statusCode, body);
		};

		if (isSilent) {
			lostSockets.add(socket);
			return;
		}

		switch (pathname) {
			case '/kv-key': {
				const item = items.get(searchParams.get('key'));
				reply(item?.value === undefined ? 404 : 200, item?.value === undefined ? {} : {...toWire(item), as_of: revision});
				return;
			}

			case '/kv-range': {
				const found = [...items.values()].filter(item => item.key.startsWith(searchParams.get('prefix')) && item.value !== undefined);
				reply(200, {items: found.map(item => toWire(item)), truncated: false, as_of: revision});
				return;
			}

			case '/kv-watch': {
				watchedAtMs.set(socket.remoteAddress, run.nowMs());
				reply(200, await watch(searchParams.get('prefix'), Number(searchParams.get('after')), Number(searchParams.get('wait_ms'))));
				return;
			}

			default: {
				reply(404, {});
			}
		}
	});
	server.keepAliveTimeout = 60_000;
	const port = await findFreePort(address);
	await new Promise(resolve => {
		server.listen(port, address, resolve);
	});
	run.defer(() => {
		server.close();
		server.closeAllConnections();
	});

	return {
		address,
		port,
		put: (key, value) => write(key, Buffer.from(JSON.stringify(value)).toString('base64')),
		remove: key => write(key),
		/** Addresses of the machines that have watched in the last `windowMs`. */
		watchers: windowMs => [...watchedAtMs].filter(([, atMs]) => run.nowMs() - atMs < windowMs).map(([watcher]) => watcher),
		/** While true, calls get no answer, and neither does a later call on their connections. */
		setSilent(next) {
			isSilent = next;
		},
	};
};

const routeColumns = ['name', 'host', 'prefix', 'route_type', 'timeout_ms', 'target_latency_ms', 'priority', 'traffic_split', 'max_attempts', 'service'];

/** Writes a configuration as the operator does. */
export const putConfig = (store, version, routes, services) => store.put('op/config', {
	version: version.toString(16).padStart(8, '0'),
	routes: {columns: routeColumns, rows: routes.map(route => routeColumns.map(column => route[column] ?? null))},
	services: {columns: ['name', 'health_check_path', 'max_connections', 'protocol', 'tls'], rows: services.map(name => [name, '/health', 390, 'h1', false])},
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
});
