/** A payment is sent to a gateway in its shutdown, and is still at work when the gateway breaks it off. */

/* eslint-disable camelcase, no-await-in-loop -- The fields are the platform's, and the steps of a case follow each other. */

import {setTimeout as delay} from 'node:timers/promises';
import http from 'node:http';
import {
	addressOf, isTroubled, nextId, record, runCase, sendRequest, startGateway, startInstance, startStore,
} from '../stand-ins-3.mjs';

const graceSeconds = 10;
const deadlineMs = 8126;
const workMs = 5300;
const shortWorkMs = 100;
const sentAfterMs = 4350;

await runCase(async () => {
	const store = await startStore();
	store.configure({
		version: 12,
		routes: [{
			name: 'uploads', host: 'small.example', prefix: '/uploads/', route_type: 'upload', service: 'vault', timeout_ms: 8126, target_latency_ms: 3062, max_attempts: 3, priority: 1,
		}],
		services: [{name: 'vault', health_check_path: '/health', max_connections: 390}],
	});
	const runs = new Map();
	for (const number of [101, 102]) {
		const id = `i-${number}`;
		await startInstance({
			id,
			address: addressOf(number),
			async run({request, response, requestId, body}) {
				const isLong = request.url.includes('/long');
				const run = {id, isSound: true, isAtWork: true};
				runs.set(requestId, run);
				record('runs', {
					id, requestId, path: request.url, bytes: body.length, deadline: request.headers['x-egretwing-request-deadline'],
				});
				response.once('close', () => {
					if (run.isAtWork) {
						run.isBrokenOff = true;
						record('connection closed while the instance is at work', {id, requestId});
					}
				});
				await delay(isLong ? workMs : shortWorkMs);
				run.isAtWork = false;
				record('has run', {id, requestId});
				if (!response.destroyed) {
					response.writeHead(200, {'x-egretwing-request-id': requestId, 'x-egretwing-response-signature': `${id}.${requestId}`, 'content-length': 2}).end('ok');
				}
			},
		});
		store.register({
			id, service: 'vault', address: addressOf(number), slots: 4, born: Date.now(),
		});
	}

	const gateways = [await startGateway(11, {seeds: [11, 12], graceSeconds}), await startGateway(12, {seeds: [11, 12], graceSeconds})];
	await delay(2000);

	const [gateway] = gateways;
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	const send = async requestPath => {
		const requestId = nextId();
		record('sent', {requestId, path: requestPath, deadlineMs});
		const answer = await sendRequest({
			gateway, requestId, requestPath, method: 'POST', body: 'a recording '.repeat(5000), deadlineMs, agent,
		});
		record('answered', {
			requestId, type: answer.type, status: answer.statusCode, detail: answer.detail, tookMs: answer.tookMs, connection: answer.headers?.connection,
		});
		return {...answer, requestId};
	};

	await send('/uploads/short');
	const terminatedAtMs = performance.now();
	if (isTroubled) {
		gateway.signal('SIGTERM');
		// The platform sends SIGKILL after its grace.
		setTimeout(() => {
			gateway.signal('SIGKILL');
		}, graceSeconds * 1000).unref();
	}

	await delay(sentAfterMs);
	const sentAfter = performance.now() - terminatedAtMs;
	const answer = await send('/uploads/long');
	const endedAfter = performance.now() - terminatedAtMs;
	const run = runs.get(answer.requestId);
	record('summary', {
		sentAfterSigtermMs: Math.round(sentAfter), endedAfterSigtermMs: Math.round(endedAfter), usedShareOfDeadline: (answer.tookMs / deadlineMs).toFixed(2),
		ran: run !== undefined, isBrokenOff: run?.isBrokenOff === true,
	});
	if (!isTroubled && answer.statusCode !== 200) {
		throw new Error('no success without the disruption');
	}

	await delay(Math.max(0, sentAfterMs + workMs - endedAfter + 500));
	const isExcused = sentAfter <= 3000 || answer.tookMs >= deadlineMs;
	const isOwnAnswer = answer.type !== 'answer' || answer.headers['x-egretwing-response-signature'] === undefined;
	return run !== undefined && isOwnAnswer && !isExcused
		? `sent ${Math.round(sentAfter)} ms after SIGTERM, at work at an instance, ended as ${answer.type} ${answer.statusCode ?? ''} after ${answer.tookMs} of ${deadlineMs} ms`
		: undefined;
});
