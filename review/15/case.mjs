/** A heartbeat that was held up by a partition reaches the store after the report that its instance drains. */

/* eslint-disable camelcase, no-await-in-loop, no-void -- The fields are the platform's, and the steps of a case follow each other. */

import http from 'node:http';
import net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	addressOf, isTroubled, nextId, record, runCase, sendRequest, startGateway, startInstance, startStore, storeEndpoint, toEntry,
} from '../stand-ins-3.mjs';

const drainMs = 2000;
const heartbeatMs = 1500;
const cutMs = 4000;
const exitAfterMs = 2800;
const workMs = 600;
const deadlineMs = 2000;
const writeTimeoutMs = 1000;
/** First timeout after which TCP sends again what was not acknowledged; each further one is twice as long. */
const firstRetransmissionMs = 200;

const linkPort = 7200;

/** Time since `sentAtMs` at which TCP sends again for the first time after `healedAtMs`. */
const nextTransmissionMs = (sentAtMs, healedAtMs) => {
	let atMs = sentAtMs;
	for (let timeoutMs = firstRetransmissionMs; atMs < healedAtMs; timeoutMs *= 2) {
		atMs += timeoutMs;
	}

	return atMs;
};

/** The path of one instance to the store, which can be cut. What was sent on an open connection in the cut arrives when TCP sends it again. */
const startLink = async () => {
	let isCut = false;
	let held = [];
	const server = net.createServer(incoming => {
		incoming.on('error', () => undefined);
		// A connection that is opened in the cut is not established, so that nothing is sent on it.
		const isOpen = !isCut;
		const outgoing = net.connect(storeEndpoint());
		outgoing.on('error', () => undefined);
		outgoing.on('data', bytes => {
			if (!incoming.destroyed) {
				incoming.write(bytes);
			}
		});
		let isHeld = false;
		incoming.on('data', bytes => {
			if (!isOpen) {
				return;
			}

			if (isCut) {
				isHeld = true;
				held.push({sentAtMs: performance.now(), bytes, outgoing});
				return;
			}

			outgoing.write(bytes);
		});
		incoming.on('close', () => {
			if (!isHeld) {
				outgoing.end();
			}
		});
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(linkPort, addressOf(2), resolve);
	});
	return {
		cut() {
			isCut = true;
			record('the instance is cut off from the store');
		},
		heal() {
			isCut = false;
			record('the cut ends');
			const healedAtMs = performance.now();
			for (const {sentAtMs, bytes, outgoing} of held) {
				setTimeout(() => {
					outgoing.end(bytes);
				}, nextTransmissionMs(sentAtMs, healedAtMs) - healedAtMs);
			}

			held = [];
		},
	};
};

await runCase(async () => {
	const acknowledged = [];
	const store = await startStore({
		onWrite(key, {status}) {
			acknowledged.push({state: status.state, sequence: status.sequence, atMs: performance.now()});
			record('store takes a write', {key, state: status.state, sequence: status.sequence});
		},
	});
	store.configure({
		version: 12,
		routes: [{
			name: 'settle', host: 'small.example', prefix: '/settle/', route_type: 'unsafe', service: 'settle',
			timeout_ms: 2000, target_latency_ms: 800, max_attempts: 2, priority: 1,
		}],
		services: [{name: 'settle', health_check_path: '/health', max_connections: 390}],
	});

	const arrivals = [];
	let isLeaving = false;
	const born = Date.now();
	const leavingId = 'i-101';
	const play = async number => {
		const id = `i-${number}`;
		return startInstance({
			id,
			address: addressOf(number),
			async run({response, requestId}) {
				arrivals.push({id, requestId, atMs: performance.now()});
				record('runs', {id, requestId});
				await delay(workMs);
				if (!response.destroyed) {
					response.writeHead(200, {
						'x-egretwing-request-id': requestId, 'x-egretwing-response-signature': `${id}.${requestId}`, 'content-length': 2, ...(id === leavingId && isLeaving && {'server-leaving': '1'}),
					}).end('ok');
				}
			},
		});
	};

	const entryOf = (number, fields) => ({
		id: `i-${number}`, service: 'settle', address: addressOf(number), slots: 2, born, ...fields,
	});
	const [leaving] = await Promise.all([101, 102, 103, 104, 105].map(async number => play(number)));
	for (const number of [102, 103, 104, 105]) {
		store.register(entryOf(number));
	}

	const link = await startLink();
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	let sequence = 0;
	/** Writes the entry of the leaving instance; resolves with whether the store has answered in time. */
	const beat = async () => new Promise(resolve => {
		sequence++;
		const request = http.request({
			host: addressOf(2), port: linkPort, path: '/write', method: 'POST', agent, timeout: writeTimeoutMs,
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
		request.end(JSON.stringify({key: `servers/${leavingId}`, value: toEntry(entryOf(101, {state: isLeaving ? 'draining' : 'ready', sequence}))}));
	});

	await beat();
	const gateways = [await startGateway(11, {seeds: [11, 12]}), await startGateway(12, {seeds: [11, 12]})];
	await beat();
	await delay(1000);

	const answers = [];
	const pay = async turn => {
		const requestId = nextId();
		const sentAtMs = performance.now();
		const answer = await sendRequest({
			gateway: gateways[turn % gateways.length], requestId, requestPath: '/settle/orders', method: 'POST', body: `order ${turn}`, deadlineMs,
		});
		answers.push({requestId, sentAtMs, end: answer.statusCode ?? answer.type});
		record('answered', {requestId, status: answer.statusCode ?? answer.type, tookMs: answer.tookMs});
	};

	// All instances are in use before.
	await Promise.all(Array.from({length: 10}, async (_, turn) => pay(turn)));
	await delay(heartbeatMs);
	if (isTroubled) {
		link.cut();
	}

	void beat();
	await delay(cutMs);
	isLeaving = true;
	record('the instance begins to leave', {id: leavingId});
	if (isTroubled) {
		link.heal();
	}

	while (!(await beat())) {
		await delay(100);
	}

	const drainingAtMs = acknowledged.find(({state}) => state === 'draining').atMs;
	const beats = setInterval(beat, heartbeatMs);
	setTimeout(() => {
		clearInterval(beats);
		leaving.crash();
		store.remove(leavingId);
		record('the instance has left', {id: leavingId});
	}, exitAfterMs);

	// Callers come again once the drain is over.
	await delay(drainMs + 100);
	const calls = [];
	for (let turn = 0; performance.now() < drainingAtMs + exitAfterMs; turn++) {
		calls.push(pay(turn));
		await delay(60);
	}

	await Promise.all(calls);
	const boundMs = drainingAtMs + drainMs;
	const sentLate = new Set(answers.filter(({sentAtMs}) => sentAtMs > boundMs).map(({requestId}) => requestId));
	const late = arrivals.filter(({id, requestId, atMs}) => id === leavingId && atMs > boundMs && sentLate.has(requestId));
	const lost = late.filter(({requestId}) => answers.find(answer => answer.requestId === requestId).end !== 200);
	record('summary', {
		sent: answers.length, served: answers.filter(({end}) => end === 200).length, reachedAfterTheDrain: late.length, lostOfThese: lost.length,
	});
	if (!isTroubled && answers.filter(({end}) => end === 200).length < answers.length / 2) {
		throw new Error('most payments fail without the disruption');
	}

	return late.length > 0
		? `${late.length} payments reached ${leavingId} later than ${drainMs} ms after its draining was acknowledged, ${lost.length} of them were lost when it ended`
		: undefined;
});
