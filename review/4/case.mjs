/* eslint-disable camelcase, no-await-in-loop, no-unmodified-loop-condition -- names of the wire; steps in series */
/**
 * The store is silent for a while. Instances whose registrations are removed when the store has been stable again for longer than
 * `contact_ms` are still taken for ones whose registrations lapsed in the outage, and get requests for longer than `drain_ms`.
 */

import {setTimeout as delay} from 'node:timers/promises';
import {createClient} from '../client.mjs';
import {startGateways} from '../gateways.mjs';
import {startInstance} from '../instance.mjs';
import {createNetwork, runCase} from '../run.mjs';
import {putConfig, startStore} from '../store.mjs';

const outageMs = 4500;
const contactMs = 3000;
const drainMs = 2000;
/** How much longer than `drainMs` the instances that leave still serve. */
const extraMs = 250;
/** Time between two removals. */
const betweenMs = 20;
const leavingCount = 3;
const instanceCount = 23;
const clientsPerGateway = 20;
const requestIntervalMs = 50;

await runCase(import.meta.dirname, async run => {
	const addressOf = createNetwork();
	const zones = ['zone-a', 'zone-b', 'zone-c'];
	const store = await startStore(run, addressOf(2));
	putConfig(store, 1, [{
		name: 'commits', host: 'review.example', prefix: '/commit/', route_type: 'unsafe', timeout_ms: 3000, target_latency_ms: 1500, priority: 1, max_attempts: 2, service: 'ledger',
	}], ['ledger']);
	const arrivals = [];
	const instances = await Promise.all(Array.from({length: instanceCount}, async (_, number) => startInstance(run, {
		instanceId: `i-${number}`,
		address: addressOf(60 + number),
		service: 'ledger',
		zone: zones[number % zones.length],
		workMs: () => 150,
		onArrival(event) {
			arrivals.push(event);
		},
	})));
	for (const instance of instances) {
		instance.register(store);
	}

	const machines = zones.map((zone, number) => ({name: `front-${zone}`, address: addressOf(40 + number), zone}));
	const gateways = await startGateways(run, {machines, store});
	await delay(3000);

	let isEnding = false;
	const calls = [];
	const loads = machines.flatMap(({address}) => Array.from({length: clientsPerGateway}, async () => {
		const client = createClient(run, address, gateways.ports.front);
		while (!isEnding) {
			calls.push(await client.send({method: 'POST', target: '/commit/seat', bodyBytes: 300}));
			await delay(requestIntervalMs * (0.5 + Math.random()));
		}
	}));
	await delay(2000);
	if (run.isTrouble) {
		store.setSilent(true);
		run.say('the store is silent');
	}

	await delay(outageMs);
	store.setSilent(false);
	run.say('the store answers');
	await delay(contactMs + 60);
	const leavingInstances = instances.slice(0, leavingCount);
	const acknowledgedAtMs = new Map();
	for (const {instanceId} of leavingInstances) {
		store.remove(`servers/${instanceId}`);
		acknowledgedAtMs.set(instanceId, run.nowMs());
		run.say(`the store has acknowledged that ${instanceId} is gone`);
		await delay(betweenMs);
	}

	await delay(drainMs + extraMs);
	for (const instance of leavingInstances) {
		instance.close();
	}

	run.say('these instances have ended');
	await delay(2000);
	isEnding = true;
	await Promise.all(loads);

	const late = arrivals.filter(({instanceId, atMs}) => atMs > (acknowledgedAtMs.get(instanceId) ?? Number.POSITIVE_INFINITY) + drainMs);
	for (const {instanceId} of leavingInstances) {
		const after = arrivals.filter(event => event.instanceId === instanceId).map(({atMs}) => atMs - acknowledgedAtMs.get(instanceId)).filter(afterMs => afterMs > 0);
		run.say(`requests that reached ${instanceId} after the acknowledgement: ${after.length}, later than ${drainMs} ms after it: ${after.filter(afterMs => afterMs > drainMs).length}, the last one after ${Math.round(after.at(-1) ?? 0)} ms`);
	}

	const lateIds = new Set(late.map(({requestId}) => requestId));
	const notServed = calls.filter(call => call.statusCode !== 200);
	run.say(`calls: ${calls.length}, not served: ${notServed.length}, of those that came late: ${notServed.filter(({requestId}) => lateIds.has(requestId)).length}`);
	return late.length > 0;
});
