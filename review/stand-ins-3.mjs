/** Stand-ins for the store, instances and clients of a small deployment, on loopback addresses; built by `build-3.sh`. */

/* eslint-disable camelcase, no-await-in-loop -- The fields are the platform's, and the steps of a case follow each other. */

import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

/** Whether the disruption is made. */
export const isTroubled = process.env.TROUBLE !== '0';

const ports = {
	front: 7000, ready: 7001, lookup: 7002, peer: 7003, control: 7004, store: 7005, instance: 7100,
};

/** Addresses of this run: a part of the loopback network that other runs are unlikely to use. */
const network = `127.${20 + (process.pid % 200)}.${Math.floor(Math.random() * 250)}`;

/** Port of each instance. */
export const instancePort = ports.instance;

export const addressOf = number => `${network}.${number}`;

const startedAtMs = performance.now();
const lines = [];

/** Adds a line to the record. */
export const record = (event, fields = {}) => {
	lines.push(`${((performance.now() - startedAtMs) / 1000).toFixed(3)} ${event}${Object.entries(fields).map(([name, value]) => ` ${name}=${value}`).join('')}`);
};

const children = new Set();
const folder = mkdtempSync(path.join(os.tmpdir(), 'egretwing-review-'));

const end = exitCode => {
	for (const child of children) {
		child.kill('SIGKILL');
	}

	rmSync(folder, {recursive: true, force: true});
	writeFileSync(path.join(process.argv[2], 'record.txt'), `${lines.join('\n')}\n`);
	process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit
};

/** Runs a case for 120 s at most: `play` resolves with what broke the rule, undefined if it held. */
export const runCase = async play => {
	const timer = setTimeout(() => {
		record('not run', {cause: 'longer than 110 s'});
		end(2);
	}, 110_000);
	try {
		const broken = await play();
		clearTimeout(timer);
		record(broken === undefined ? 'rule held' : 'rule broken', broken === undefined ? {} : {seen: JSON.stringify(broken)});
		process.stdout.write(`${lines.at(-1)}\n`);
		end(broken === undefined ? 0 : 1);
	} catch (error) {
		record('not run', {cause: error.stack});
		process.stdout.write(`${lines.at(-1)}\n`);
		end(2);
	}
};

const listen = async (server, port, address) => new Promise((resolve, reject) => {
	server.once('error', reject);
	server.listen(port, address, resolve);
});

const sendJson = (response, statusCode, body) => {
	const text = JSON.stringify(body);
	response.writeHead(statusCode, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
};

const table = rows => {
	const columns = [...new Set(rows.flatMap(row => Object.keys(row)))];
	return {columns, rows: rows.map(row => columns.map(column => row[column] ?? null))};
};

/** Address of the store, where instances write as well. */
export const storeEndpoint = () => ({host: addressOf(1), port: ports.store});

/** What an instance writes of itself. */
export const toEntry = ({
	service, address, slots, born, state = 'ready', sequence = 1,
}) => ({
	address: `${address}:${ports.instance}`,
	born,
	info: {
		service, zone: 'zone-a', version: '1', slots,
	},
	status: {state, sequence, warmup_left_ms: 0},
});

/** A sound store. */
export const startStore = async ({onWrite = () => undefined} = {}) => {
	const items = new Map();
	const waiting = new Set();
	let revision = 10;

	const write = (key, value) => {
		revision++;
		const created = items.get(key)?.created ?? revision;
		items.set(key, value === undefined
			? {key, revision, tombstone: true}
			: {
				key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision, created, lease: 0,
			});
		for (const wake of waiting) {
			wake();
		}
	};

	const present = prefix => [...items.values()].filter(item => item.key.startsWith(prefix) && item.tombstone !== true);
	const eventsAfter = (prefix, after) => [...items.values()].filter(item => item.key.startsWith(prefix) && item.revision > after);

	const watch = async (prefix, after, waitMs) => {
		if (eventsAfter(prefix, after).length === 0) {
			await new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const wake = () => {
					if (eventsAfter(prefix, after).length > 0) {
						finish();
					}
				};

				const timer = setTimeout(finish, waitMs);
				waiting.add(wake);
			});
		}

		return {events: eventsAfter(prefix, after).toSorted((left, right) => left.revision - right.revision), as_of: revision};
	};

	const server = http.createServer({keepAliveTimeout: 60_000}, async (request, response) => {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		switch (pathname) {
			case '/write': {
			// How an instance writes its own entry.
				const {key, value} = JSON.parse(await readWhole(request));
				write(key, value);
				onWrite(key, value);
				sendJson(response, 200, {revision});

				break;
			}

			case '/kv-key': {
				const item = items.get(searchParams.get('key'));
				const isThere = item !== undefined && item.tombstone !== true;
				sendJson(response, isThere ? 200 : 404, {...(isThere && item), as_of: revision});

				break;
			}

			case '/kv-range': {
				sendJson(response, 200, {items: present(searchParams.get('prefix')), truncated: false, as_of: revision});

				break;
			}

			default: {
				sendJson(response, 200, await watch(searchParams.get('prefix'), Number(searchParams.get('after')), Number(searchParams.get('wait_ms'))));
			}
		}
	});
	await listen(server, ports.store, addressOf(1));
	return {
		/** Writes the configuration. */
		configure({version, routes, services, limits = {}}) {
			write('op/config', {
				version: version.toString(16).padStart(8, '0'),
				routes: table(routes),
				services: table(services),
				limits: {
					max_header_bytes: 16_384, max_body_bytes: 8_388_608, header_timeout_ms: 5000, idle_timeout_ms: 10_000, ...limits,
				},
			});
		},
		/** Writes the registration of an instance. */
		register(entry) {
			write(`servers/${entry.id}`, toEntry(entry));
		},
		remove(id) {
			write(`servers/${id}`);
		},
	};
};

/** Reads the whole body of a request. */
export const readWhole = async request => {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

/** Starts an instance whose `run` handles each request that is meant for it. */
export const startInstance = async ({id, address, run}) => {
	const server = http.createServer({keepAliveTimeout: 10_000}, async (request, response) => {
		try {
			if (request.url === '/health') {
				response.writeHead(200, {'x-egretwing-instance-id': id, 'content-length': 0}).end();
				return;
			}

			const body = await readWhole(request);
			const requestId = request.headers['x-egretwing-request-id'];
			if (request.headers['x-egretwing-target-instance'] !== id) {
				response.writeHead(421, {'x-egretwing-request-id': requestId, 'x-egretwing-not-executed': '1', 'content-length': 0}).end();
				return;
			}

			await run({
				request, response, requestId, body,
			});
		} catch (error) {
			record('instance lost a request', {id, cause: error.message});
		}
	});
	await listen(server, ports.instance, address);
	return {
		/** Ends as by a crash: nothing is answered, and connections are refused. */
		crash() {
			server.close();
			server.closeAllConnections();
		},
	};
};

const runCommand = () => /^run = "(?<command>[^"]+)"/mv.exec(readFileSync('deploy/system.toml', 'utf8')).groups.command.split(' ');

/** Starts a gateway by the command of the deploy file, with the settings that its template makes. */
export const startGateway = async (number, {seeds, graceSeconds = 6}) => {
	const address = addressOf(number);
	const file = path.join(folder, `${number}.json`);
	writeFileSync(file, JSON.stringify({
		hostId: `front-${number}`,
		address,
		region: 'region',
		dataCentre: 'zone-a',
		entryListener: `${address}:${ports.front}`,
		readinessListener: `${address}:${ports.ready}`,
		locateListener: `${address}:${ports.lookup}`,
		peerPort: ports.peer,
		seeds: seeds.map(seed => `${addressOf(seed)}:${ports.control}`),
		cpuShare: 0.54,
		cores: 1,
		linkMegabitsPerSecond: 1000,
		memoryMegabytes: 350,
		maxDescriptors: 4100,
		storeAddress: `${addressOf(1)}:${ports.store}`,
		bounds: {
			grace_s: String(graceSeconds), retry_budget_ratio: '0.2', budget_window_s: '10', budget_slack: '62',
		},
	}));
	const [program, ...words] = runCommand();
	const child = spawn(program === 'node' ? process.execPath : program, words, {
		env: {PATH: process.env.PATH, HOME: process.env.HOME, EGRETWING_CONFIG: file}, stdio: ['ignore', 'pipe', 'pipe'],
	});
	children.add(child);
	const logged = [];
	for (const stream of [child.stdout, child.stderr]) {
		stream.setEncoding('utf8').on('data', text => {
			logged.push(text);
		});
	}

	const ended = new Promise(resolve => {
		child.once('exit', (code, signal) => {
			children.delete(child);
			record('gateway ended', {number, code, signal});
			resolve();
		});
	});
	const untilMs = performance.now() + 15_000;
	while (!(await isReady(address))) {
		if (performance.now() > untilMs || child.exitCode !== null) {
			throw new Error(`gateway ${number} is not ready: ${logged.join('').slice(-2000)}`);
		}

		await delay(50);
	}

	record('gateway ready', {number});
	return {
		address,
		port: ports.front,
		ended,
		signal(signal) {
			record('signal', {number, signal});
			child.kill(signal);
		},
		log: () => logged.join(''),
	};
};

const isReady = async address => new Promise(resolve => {
	const request = http.get({
		host: address, port: ports.ready, path: '/readiness', timeout: 1000, agent: false,
	}, response => {
		response.resume();
		resolve(response.statusCode === 200);
	});
	request.once('timeout', () => {
		request.destroy();
	});
	request.once('error', () => {
		resolve(false);
	});
});

let lastId = 0;

/** A new request id. */
export const nextId = () => `${process.pid.toString(16)}${(++lastId).toString(16).padStart(6, '0')}`;

/**
 * Sends a request as a client does, over `agent` if given; resolves with the answer, or with how the connection ended.
 */
export const sendRequest = async ({
	gateway, requestId, requestPath, method = 'GET', body, deadlineMs, agent = false, onData = () => undefined,
}) => new Promise(resolve => {
	const sentAtMs = performance.now();
	const chunks = [];
	const finish = result => {
		clearTimeout(timer);
		resolve({...result, body: Buffer.concat(chunks), tookMs: Math.round(performance.now() - sentAtMs)});
	};

	const request = http.request({
		host: gateway.address,
		port: gateway.port,
		path: requestPath,
		method,
		agent,
		headers: {
			host: 'small.example',
			'x-egretwing-request-id': requestId,
			'x-egretwing-request-deadline': String(deadlineMs),
			...(body !== undefined && {'content-length': Buffer.byteLength(body)}),
		},
	}, response => {
		const {statusCode, headers, socket} = response;
		// Node.js reports a reset that comes with the last bytes as the end of the answer; the socket has no peer then.
		let isReset = false;
		if (agent === false) {
			socket.prependOnceListener('end', () => {
				isReset = socket.remoteAddress === undefined;
			});
		}

		response.on('data', chunk => {
			chunks.push(chunk);
			onData(response, chunk);
		});
		response.once('end', () => {
			finish({
				...(isReset ? {type: 'broken off', detail: 'reset'} : {type: 'answer', isComplete: response.complete}), statusCode, headers,
			});
		});
		response.once('error', error => {
			finish({
				type: 'broken off', statusCode, headers, detail: error.code ?? error.message,
			});
		});
	});
	const timer = setTimeout(() => {
		request.destroy(new Error('deadline'));
	}, deadlineMs);
	request.once('error', error => {
		finish({type: 'closed', detail: error.code ?? error.message});
	});
	request.end(body);
});
