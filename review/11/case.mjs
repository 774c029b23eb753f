/** An instance in trouble sends a body without end, in small chunks, while seat confirmations are at sound instances of another service. */

/* eslint-disable camelcase, no-await-in-loop, no-unmodified-loop-condition, no-void -- The fields are the platform's, and the steps of a case follow each other. */

import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	addressOf, instancePort, isTroubled, nextId, record, runCase, sendRequest, startGateway, startInstance, startStore,
} from '../stand-ins-3.mjs';

const contactMs = 3000;
const workMs = 700;
const warmUpMs = 2500;
const deadlineMs = 3000;
const callers = 8;
const allowedCuts = 3;
const playMs = 6000;

/** Starts an instance of one address; in trouble it writes bytes until its caller closes. */
const startEndless = async ({id, address}) => {
	const pieces = Buffer.from('2\r\nx\n\r\n'.repeat(10_000));
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		let text = '';
		let sentBytes = 0;
		socket.on('data', bytes => {
			text += bytes.toString('latin1');
			if (!text.includes('\r\n\r\n')) {
				return;
			}

			const requestId = /^x-egretwing-request-id: (?<id>\S+)/imv.exec(text).groups.id;
			text = '';
			const head = `HTTP/1.1 200 OK\r\nX-Egretwing-Request-Id: ${requestId}\r\nX-Egretwing-Response-Signature: ${id}.${requestId}\r\n`;
			if (!isTroubled) {
				socket.write(`${head}Content-Length: 2\r\n\r\nok`);
				return;
			}

			record('a body without end begins', {id, requestId});
			socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
			const pump = () => {
				while (!socket.destroyed) {
					sentBytes += pieces.length;
					if (!socket.write(pieces)) {
						return;
					}
				}
			};

			socket.on('drain', pump);
			pump();
		});
		socket.once('close', () => {
			if (sentBytes > 0) {
				record('its caller has closed', {id, sentBytes});
			}
		});
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(instancePort, address, resolve);
	});
};

await runCase(async () => {
	const store = await startStore();
	store.configure({
		version: 12,
		routes: [
			{
				name: 'seats', host: 'small.example', prefix: '/seats/', route_type: 'unsafe', service: 'seats',
				timeout_ms: 3000, target_latency_ms: 1500, max_attempts: 2, priority: 1,
			},
			{
				name: 'view', host: 'small.example', prefix: '/view/', route_type: 'safe', service: 'view',
				timeout_ms: 2500, target_latency_ms: 1500, max_attempts: 3, priority: 2,
			},
		],
		services: [{name: 'seats', health_check_path: '/health', max_connections: 390}, {name: 'view', health_check_path: '/health', max_connections: 390}],
	});
	const atWork = new Map();
	for (let number = 101; number <= 110; number++) {
		const id = `i-${number}`;
		await startInstance({
			id,
			address: addressOf(number),
			async run({response, requestId}) {
				atWork.set(requestId, id);
				record('runs', {id, requestId});
				await delay(workMs);
				if (!response.destroyed) {
					response.writeHead(200, {'x-egretwing-request-id': requestId, 'x-egretwing-response-signature': `${id}.${requestId}`, 'content-length': 2}).end('ok');
				}
			},
		});
		store.register({
			id, service: 'seats', address: addressOf(number), slots: 4, born: Date.now(),
		});
	}

	await startEndless({id: 'i-111', address: addressOf(111)});
	store.register({
		id: 'i-111', service: 'view', address: addressOf(111), slots: 4, born: Date.now(),
	});

	const gateway = await startGateway(11, {seeds: [11, 12]});
	await delay(contactMs + 500);

	let isOver = false;
	let endedItself = false;
	void gateway.ended.then(() => {
		endedItself = !isOver;
		isOver = true;
	});
	const answers = [];
	const startedAtMs = performance.now();
	const isWarm = () => performance.now() > startedAtMs + warmUpMs;
	/** Sends one confirmation after the other on one connection. */
	const confirm = async place => {
		await delay(place * workMs / callers);
		const agent = new http.Agent({keepAlive: true, maxSockets: 1});
		for (let sent = 0; !isOver; sent++) {
			const requestId = nextId();
			const answer = await sendRequest({
				gateway, requestId, requestPath: '/seats/confirm', method: 'POST', body: `seat ${requestId}`, deadlineMs, agent,
			});
			answers.push({
				requestId, isKept: sent > 0, isWarm: isWarm(), end: answer.statusCode ?? answer.type,
			});
			record('answered', {
				requestId, isKept: sent > 0, status: answer.statusCode ?? answer.type, tookMs: answer.tookMs,
			});
		}
	};

	const confirming = Array.from({length: callers}, async (_, place) => confirm(place));
	await delay(warmUpMs + workMs);
	const requestId = nextId();
	record('sent', {requestId, path: '/view/today'});
	const viewing = sendRequest({
		gateway, requestId, requestPath: '/view/today', deadlineMs: 2500,
	});
	await Promise.race([gateway.ended, delay(playMs)]);
	isOver = true;
	const {type, statusCode, detail} = await viewing;
	record('answered', {requestId, status: statusCode ?? type, detail});
	await Promise.all(confirming);
	const cut = answers.filter(answer => answer.isKept && answer.end === 'closed' && atWork.has(answer.requestId));
	record('summary', {
		confirmations: answers.length, served: answers.filter(({end}) => end === 200).length, cutAtWork: cut.length, endedItself,
	});
	if (!isTroubled && answers.some(answer => answer.isWarm && answer.end !== 200)) {
		throw new Error('confirmations fail without the disruption');
	}

	return cut.length > allowedCuts ? `the process ended by itself: ${cut.length} confirmations on kept connections were at sound instances and got no answer` : undefined;
});
