/** A trial of the report, not a case: callers ask, one request after the other, for a path without a route that consists of slashes. */
/* eslint no-await-in-loop: off -- the steps come one after the other */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	callerLimits, configOf, createCallers, deployments, note, nowMs, pickAddress, runCase, startGateway, startInstance, startStore,
} from './stand-2.mjs';

/** TROUBLE=0 plays the case without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const deployment = deployments.tierlabs;
const timeoutMs = 3000;
const graceMs = 500;
const workMs = 320;
const callerCount = 16;
const crowdSize = 600;
const pathBytes = 3900;
const playMs = 20_000;

await runCase({recordFile: 'target/slashes-2.txt', hasTrouble}, async onEnd => {
	const address = pickAddress();
	const store = await startStore(address);
	onEnd(store.close);
	store.put('op/config', configOf(1, deployment, [{
		name: 'commits', prefix: '/xapu221/', type: 'unsafe', service: 'wuno96b', timeoutMs,
	}]));
	for (let index = 0; index < 8; index++) {
		const instance = await startInstance(address, {
			id: `i-${index}`, service: 'wuno96b', store, async work(_request, response, _body, headers) {
				await delay(workMs);
				response.writeHead(200, {...headers, 'content-length': 2}).end('ok');
			},
		});
		onEnd(instance.close);
	}

	const gateway = await startGateway(address, {storeAddress: store.address, deployment});
	onEnd(gateway.stop);
	await delay(3500);
	const callers = createCallers(gateway, {
		method: 'POST', target: '/xapu221/x', deadlineMs: timeoutMs, body: 'body',
	});
	const crowd = createCallers(gateway, {
		target: hasTrouble ? '/'.repeat(pathBytes) : '/none', deadlineMs: timeoutMs, maxSockets: crowdSize, localAddress: address.replace(/\d+$/v, '251'),
	});
	const results = [];
	const untilMs = nowMs() + playMs;
	let crowdSent = 0;
	const runCrowd = async caller => {
		for (let count = 0; nowMs() < untilMs; count++) {
			crowdSent++;
			await crowd.ask(`crowd-${caller}-${count}`);
			await delay(50);
		}
	};

	const runCaller = async caller => {
		for (let count = 0; nowMs() < untilMs; count++) {
			const {tookMs, ...result} = await callers.ask(`ordinary-${caller}-${count}`);
			results.push({...result, tookMs, isUnanswered: result.error !== undefined || tookMs > timeoutMs + graceMs});
			await delay(50);
		}
	};

	let silentMs = 0;
	const watch = async () => {
		while (nowMs() < untilMs) {
			const askedAtMs = nowMs();
			await gateway.isReady(30_000);
			silentMs = Math.max(silentMs, nowMs() - askedAtMs);
			await delay(100);
		}
	};

	const playing = Array.from({length: callerCount}, async (_, caller) => runCaller(caller));
	await delay(2000);
	note('crowd', {callers: crowdSize, pathBytes: hasTrouble ? pathBytes : 5, limitBytes: callerLimits.max_header_bytes});
	await Promise.all([...playing, watch(), ...Array.from({length: crowdSize}, async (_, caller) => runCrowd(caller))]);
	const unanswered = results.filter(({isUnanswered}) => isUnanswered).length;
	note('outcome', {
		ordinary: results.length, served: results.filter(({statusCode}) => statusCode === 200).length, unanswered, crowdSent, longestReadinessMs: Math.round(silentMs), ends: gateway.ends,
	});
	return unanswered >= 8 && unanswered * 4 > results.length
		? [`CONFIG: ${unanswered} of ${results.length} requests of ordinary callers had no final answer ${graceMs} ms after the timeout of their route`]
		: [];
});
