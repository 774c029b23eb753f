/** Stand-ins for the platform's store and for instances, the gateway as the deploy file starts it, and the record of a run. */

/* eslint camelcase: off -- the names of the platform's settings, configuration and store */
/* eslint no-await-in-loop: off -- steps of a case come one after the other */
/* eslint unicorn/no-process-exit: off -- the cases are programs */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

/** Root of the repository: one folder above this file, and above the program that is bundled from it. */
export const root = fileURLToPath(new URL('../', import.meta.url));

export const names = {
	requestId: 'x-egretwing-request-id',
	deadline: 'x-egretwing-request-deadline',
	target: 'x-egretwing-target-instance',
	notExecuted: 'x-egretwing-not-executed',
	signature: 'x-egretwing-response-signature',
	instanceId: 'x-egretwing-instance-id',
};

const commonBounds = {
	seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, grace_s: 6, loss_slack_ms: 200, rollback_slack_ms: 250, max_stretch_ms: 5000,
	retry_budget_ratio: 0.2, budget_window_s: 10, recovery_s: 15, ttl_max_s: 5, probes_per_s: 3, floor_share: 0.7,
};

/** Figures of two deployments, as their sheets and their settings name them. */
export const deployments = {
	tierlabs: {
		bounds: {
			...commonBounds, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, config_apply_ms: 2000, budget_slack: 62,
		},
		machine: {
			cpu_share: 0.54, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0,
		},
		connections: 390,
	},
	vltava: {
		bounds: {
			...commonBounds, ack_ms: 5000, catch_up_s: 6, drain_ms: 2500, config_apply_ms: 2500, budget_slack: 266,
		},
		/** One of its smaller machines. */
		machine: {
			cpu_share: 0.54, cores: 1, memory_mb: 350, max_fds: 2069, link_mbps: 100, disk_mb: 0,
		},
		connections: 2118,
	},
};

export const callerLimits = {
	max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
};
export const hostName = 'jepu9.example';

const startedAtMs = performance.now();
const lines = [];

/** Processes that have not ended. */
const children = new Set();

/** Adds a line to the record. */
export const note = (kind, fields = {}) => {
	const line = `${((performance.now() - startedAtMs) / 1000).toFixed(3)} ${kind} ${JSON.stringify(fields)}`;
	lines.push(line);
	return line;
};

/** Time of the run, in milliseconds. */
export const nowMs = () => performance.now() - startedAtMs;

/** Resolves once `isTrue` holds; rejects after `withinMs`. */
export const waitFor = async (title, isTrue, withinMs) => {
	for (const untilMs = performance.now() + withinMs; performance.now() < untilMs;) {
		if (await isTrue()) {
			return;
		}

		await delay(20);
	}

	throw new Error(`${title}: not within ${withinMs} ms`);
};

/** A loopback address that hardly any other run uses. */
export const pickAddress = () => `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;

const listenOnFree = async address => new Promise((resolve, reject) => {
	const server = net.createServer();
	server.once('error', reject);
	server.listen(0, address, () => {
		resolve(server);
	});
});

/** Ports that are free on the address, the same for all gateways of a run. */
export const pickPorts = async address => {
	const servers = [];
	for (let count = 0; count < 5; count++) {
		servers.push(await listenOnFree(address));
	}

	const [front, ready, control, directory, peer] = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return {
		front, ready, control, directory, peer,
	};
};

/** Starts a store that keeps what `put` and `remove` write. */
export const startStore = async address => {
	const items = new Map();
	const waiting = new Set();
	let revision = 1;
	const write = (key, value) => {
		revision++;
		items.set(key, {key, revision, value});
		for (const wake of waiting) {
			wake();
		}
	};

	const toWire = ({key, revision: changed, value}) => value === undefined
		? {key, revision: changed, tombstone: true}
		: {
			key, value, revision: changed, created: changed, lease: 0,
		};
	const changesAfter = (prefix, after) => [...items.values()].filter(item => item.key.startsWith(prefix) && item.revision > after);
	const send = (response, statusCode, body) => {
		const text = JSON.stringify(body);
		response.writeHead(statusCode, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
		response.end(text);
	};

	let callers = new Set();
	const server = http.createServer((request, response) => {
		callers.add(request.socket.remoteAddress);
		const url = new URL(request.url, 'http://store');
		const query = name => url.searchParams.get(name) ?? '';
		if (url.pathname === '/kv-key') {
			const item = items.get(query('key'));
			send(response, item?.value === undefined ? 404 : 200, item?.value === undefined ? {} : {...toWire(item), as_of: revision});
			return;
		}

		if (url.pathname === '/kv-range') {
			const found = [...items.values()].filter(item => item.key.startsWith(query('prefix')) && item.value !== undefined);
			send(response, 200, {items: found.map(item => toWire(item)), truncated: false, as_of: revision});
			return;
		}

		const answer = () => {
			clearTimeout(timer);
			waiting.delete(wake);
			send(response, 200, {events: changesAfter(query('prefix'), Number(query('after'))).map(item => toWire(item)), as_of: revision});
		};

		const wake = () => {
			if (changesAfter(query('prefix'), Number(query('after'))).length > 0) {
				answer();
			}
		};

		const timer = setTimeout(answer, Number(query('wait_ms')));
		waiting.add(wake);
		wake();
	});
	await new Promise(resolve => {
		server.listen(0, address, resolve);
	});
	return {
		address: `${address}:${server.address().port}`,
		put(key, value) {
			write(key, Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		remove(key) {
			write(key);
		},
		/** Addresses that have called since the last question. */
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

/** One configuration: routes as `{name, prefix, type, service, timeoutMs}`. */
export const configOf = (version, {connections}, routes) => ({
	version: version.toString(16).padStart(8, '0'),
	routes: {
		columns: ['name', 'host', 'prefix', 'route_type', 'timeout_ms', 'target_latency_ms', 'priority', 'max_attempts', 'service'],
		rows: routes.map(({
			name, prefix, type, service, timeoutMs = 2500,
		}) => [name, hostName, prefix, type, timeoutMs, 1500, 1, 2, service]),
	},
	services: {
		columns: ['name', 'health_check_path', 'max_connections', 'protocol', 'tls'],
		rows: [...new Set(routes.map(({service}) => service))].map(service => [service, '/health', connections, 'h1', false]),
	},
	limits: callerLimits,
});

/** Starts an instance; `work` answers a request after its body has arrived. */
export const startInstance = async (address, {
	id, service, zone = 'ga-north-a', slots = 4, store, work, runs, isQuiet = false,
}) => {
	const born = Date.now();
	const server = http.createServer({maxHeaderSize: 65_536}, async (request, response) => {
		const requestId = request.headers[names.requestId];
		if (request.url === '/health') {
			response.writeHead(200, {[names.instanceId]: id, 'content-length': 0}).end();
			return;
		}

		const chunks = [];
		try {
			for await (const chunk of request) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		if (request.headers[names.target] !== undefined && request.headers[names.target] !== id) {
			response.writeHead(421, {'content-length': 0, [names.instanceId]: id}).end();
			return;
		}

		if (!isQuiet) {
			note('run', {requestId: requestId?.slice(-24), instance: id});
		}

		runs?.set(requestId, (runs.get(requestId) ?? 0) + 1);
		await work(request, response, Buffer.concat(chunks), {[names.requestId]: requestId, [names.signature]: `${id}.1`});
	});
	server.keepAliveTimeout = 60_000;
	await new Promise(resolve => {
		server.listen(0, address, resolve);
	});
	let sequence = 0;
	const beat = () => {
		sequence++;
		store.put(`servers/${id}`, {
			address: `${address}:${server.address().port}`, born, info: {
				service, version: 'v1', zone, slots,
			}, status: {state: 'ready', sequence, warmup_left_ms: 0},
		});
	};

	beat();
	const timer = setInterval(beat, 1500);
	return {
		/** Its entry goes, and the instance serves on, as one that reports no draining. */
		leave() {
			clearInterval(timer);
			store.remove(`servers/${id}`);
			note('entry removed', {instance: id});
		},
		close() {
			clearInterval(timer);
			server.close();
			server.closeAllConnections();
		},
	};
};

const fieldOf = (fields, name) => {
	let value = fields;
	for (const part of name.split('.')) {
		value = value?.[part];
	}

	return value;
};

/** Creates ordinary callers, which keep their connections: `ask` sends one request and resolves with what came of it. With `isQuiet` the record leaves out answers of status 200. */
export const createCallers = (gateway, {
	method = 'GET', target, deadlineMs, maxSockets = 256, body = '', localAddress = gateway.address, isQuiet = false,
}) => {
	const agent = new http.Agent({keepAlive: true, maxSockets});
	return {
		ask: async (requestId, fields = {}) => new Promise(resolve => {
			const sentAtMs = nowMs();
			let isDone = false;
			const end = result => {
				if (!isDone) {
					isDone = true;
					const all = {
						requestId: requestId.slice(-24), ...fields, sentAtMs: Math.round(sentAtMs), isKept: request.reusedSocket, tookMs: Math.round(nowMs() - sentAtMs), ...result,
					};
					if (!isQuiet || result.statusCode !== 200) {
						note(result.error === undefined ? 'answered' : 'not answered', all);
					}

					resolve({...all, requestId});
				}
			};

			const request = http.request({
				agent, method, host: gateway.address, port: gateway.front, localAddress, path: target, maxHeaderSize: 65_536, headers: {
					host: hostName, [names.requestId]: requestId, [names.deadline]: String(deadlineMs), ...(body !== '' && {'content-length': Buffer.byteLength(body)}),
				},
			}, response => {
				response.resume();
				response.once('end', () => {
					end({statusCode: response.statusCode, isSigned: response.headers[names.signature] !== undefined});
				});
				response.once('error', error => {
					end({error: error.code});
				});
			});
			request.once('error', error => {
				end({error: error.code ?? error.message});
			});
			// The caller gives up a second after its deadline.
			const timer = setTimeout(() => {
				end({error: 'no answer until a second after the deadline'});
				request.destroy();
			}, deadlineMs + 1000);
			request.once('close', () => {
				clearTimeout(timer);
			});
			request.end(body);
		}),
	};
};

/** Requests of kept connections that were passed on to an instance, and whose connection ended without an answer, as the rule LOST counts them. */
export const lostOf = (results, runs) => results.filter(({requestId, isKept, error}) => isKept && ['ECONNRESET', 'EPIPE'].includes(error) && runs.has(requestId));

/** Fills in the placeholders that the project's template uses. */
const renderTemplate = fields => readFileSync(path.join(root, 'platform/settings.json.template'), 'utf8')
	.replaceAll(/\{\{(?<name>[\w.]+)\|json\}\}/gv, (_all, name) => JSON.stringify(fieldOf(fields, name) ?? null));

/** Starts one gateway with the command of the deploy file. */
export const startGateway = async (address, {
	storeAddress, deployment, ports, seeds = [address], number = 1,
}) => {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'egretwing-review-'));
	const {
		front, ready, control, directory, peer,
	} = ports ?? await pickPorts(address);
	const settings = path.join(folder, 'boot.json');
	writeFileSync(settings, renderTemplate({
		node_name: `front-ga-north-a-${number}`, ip: address, zone: 'ga-north-a', region: 'ga-north', listen: {
			front: `${address}:${front}`, ready: `${address}:${ready}`, control: `${address}:${control}`, directory: `${address}:${directory}`,
		}, internal_ports: [peer, peer + 1], seeds: seeds.map(seed => `${seed}:${control}`), limits: deployment.machine, platform: {address: storeAddress}, bounds: deployment.bounds,
	}));
	const command = /^run = "(?<command>[^"]+)"/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')).groups.command.split(' ');
	const gateway = {
		address, front, ready, ends: [], logs: [], child: undefined,
	};
	const start = () => {
		const child = spawn(command[0], command.slice(1), {cwd: root, env: {EGRETWING_CONFIG: settings, PATH: process.env.PATH, HOME: process.env.HOME}, stdio: ['ignore', 'pipe', 'pipe']});
		gateway.child = child;
		children.add(child);
		note('gateway started', {pid: child.pid});
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8').on('data', text => {
				if (gateway.logs.length < 100_000) {
					gateway.logs.push(text);
				}
			});
		}

		child.once('exit', (code, signal) => {
			children.delete(child);
			const end = {
				pid: child.pid, code, signal, atMs: nowMs(),
			};
			gateway.ends.push(end);
			note('gateway ended', end);
		});
	};

	start();
	gateway.start = start;
	gateway.isReady = async (withinMs = 1000) => new Promise(resolve => {
		const request = http.get({
			host: address, port: ready, path: '/readiness', agent: false, timeout: withinMs,
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
	gateway.residentMegabytes = () => {
		try {
			return Math.round(Number(/^VmRSS:\s+(?<kilobytes>\d+)/mv.exec(readFileSync(`/proc/${gateway.child.pid}/status`, 'utf8'))?.groups.kilobytes ?? 0) / 1024);
		} catch {
			return 0;
		}
	};

	gateway.lastWords = () => gateway.logs.join('').split('\n').filter(line => /^FATAL|heap limit/v.test(line)).slice(-1).join('');

	gateway.stop = async () => {
		const {child} = gateway;
		if (child.exitCode === null && child.signalCode === null) {
			const ended = new Promise(resolve => {
				child.once('exit', resolve);
			});
			child.kill('SIGKILL');
			await ended;
		}

		rmSync(folder, {recursive: true, force: true});
	};

	await waitFor('gateway ready', async () => gateway.isReady(), 20_000);
	return gateway;
};

/** A run is given up before the 120 seconds that it may take. */
const maxRunMs = 110_000;

/** Runs a case: `play` returns the faults that it saw. Writes the record, and ends with 1 if there are any, 0 if there are none, and 2 if it could not run. */
export const runCase = async ({recordFile, hasTrouble}, play) => {
	const closers = [];
	let isEnding = false;
	const end = async exitCode => {
		if (isEnding) {
			return;
		}

		isEnding = true;
		writeFileSync(path.join(root, recordFile), `${lines.join('\n')}\n`);
		for (const close of closers.toReversed()) {
			await close();
		}

		for (const child of children) {
			child.kill('SIGKILL');
		}

		await Promise.all([...children].map(async child => new Promise(resolve => {
			child.once('exit', resolve);
		})));
		process.exit(exitCode);
	};

	const giveUp = error => {
		console.log(note('could not run', {error: String(error?.stack ?? error)}));
		end(2);
	};

	process.on('uncaughtException', giveUp);
	process.on('SIGTERM', giveUp);
	process.on('SIGINT', giveUp);
	setTimeout(giveUp, maxRunMs, 'took too long');
	try {
		const faults = await play(close => {
			closers.push(close);
		});
		for (const fault of faults) {
			console.log(note('RULE BROKEN', {fault}));
		}

		console.log(note('verdict', {hasTrouble, isBroken: faults.length > 0}));
		await end(faults.length > 0 ? 1 : 0);
	} catch (error) {
		giveUp(error);
	}
};
