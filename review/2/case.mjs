/* eslint-disable camelcase, no-await-in-loop -- names of the wire; steps in series */
/**
 * The open connections between the machines go silent, while new ones work. A configuration that is acknowledged when all machines are in
 * touch again does not reach the machines that don't read the store: they keep to the old one for good.
 */

import {setTimeout as delay} from 'node:timers/promises';
import {createClient} from '../client.mjs';
import {startGateways} from '../gateways.mjs';
import {startInstance} from '../instance.mjs';
import {createNetwork, findFreePort, runCase} from '../run.mjs';
import {startPeerProxy} from '../peer-proxy.mjs';
import {putConfig, startStore} from '../store.mjs';

const contactMs = 3000;
const configApplyMs = 2000;
const observedMs = 25_000;
const requestIntervalMs = 250;

await runCase(import.meta.dirname, async run => {
	const addressOf = createNetwork();
	const zones = ['zone-a', 'zone-b', 'zone-c'];
	const store = await startStore(run, addressOf(2));
	const routes = service => [
		{
			name: 'read', host: 'review.example', prefix: '/read/', route_type: 'safe', timeout_ms: 2500, target_latency_ms: 1500, priority: 2, max_attempts: 2, service,
		},
		...(service === 'new'
			? [{
				name: 'added', host: 'review.example', prefix: '/added/', route_type: 'unsafe', timeout_ms: 3000, target_latency_ms: 1500, priority: 1, max_attempts: 2, service,
			}]
			: []),
	];
	const services = ['old', 'new'];
	putConfig(store, 1, routes('old'), services);
	const instances = await Promise.all([...zones, ...zones].map(async (zone, number) => {
		const service = services[Math.floor(number / zones.length)];
		return startInstance(run, {
			instanceId: `i-${service}-${number}`, address: addressOf(20 + number), service, zone, workMs: () => 30,
		});
	}));
	for (const instance of instances) {
		instance.register(store);
	}

	const machines = zones.flatMap((zone, number) => [0, 1].map(index => ({
		name: `front-${zone}-${index}`, zone, address: addressOf(140 + (number * 2) + index), outerAddress: addressOf(240 + (number * 2) + index),
	})));
	const peerPort = await findFreePort(machines[0].address);
	const proxy = await startPeerProxy(run, machines, peerPort);
	const gateways = await startGateways(run, {
		machines,
		store,
		peerPort,
		seedsOf: machine => machines.slice(0, 3).map(seed => seed === machine ? seed.address : seed.outerAddress),
	});
	await delay(4000);

	const calls = [];
	const clients = machines.map(machine => ({machine, client: createClient(run, machine.address, gateways.ports.front)}));
	const sendAll = async () => Promise.all(clients.map(async ({machine, client}) => {
		const [read, added] = [await client.send({target: '/read/1'}), await client.send({method: 'POST', target: '/added/1', bodyBytes: 300})];
		calls.push({machine, read, added});
	}));
	// One change before the disruption, as on an ordinary day, so that connections between the machines are open.
	putConfig(store, 2, routes('old'), services);
	await delay(1500);
	await sendAll();
	run.say(`open connections: ${proxy.openNames().join(', ')}`);
	if (run.isTrouble) {
		const silent = proxy.silence();
		run.say(`silent from now on: ${silent.length} connections`);
	}

	await delay(contactMs + 500);
	putConfig(store, 3, routes('new'), services);
	const acknowledgedAtMs = run.nowMs();
	run.say('the store has acknowledged version 3: /read/ moves to the service "new", /added/ is added');
	while (run.nowMs() < acknowledgedAtMs + configApplyMs + observedMs) {
		await sendAll();
		await delay(requestIntervalMs);
	}

	const late = calls.filter(({read}) => read.sentAtMs > acknowledgedAtMs + configApplyMs);
	let wrong = 0;
	for (const {name} of machines) {
		const own = late.filter(({machine}) => machine.name === name);
		const oldService = own.filter(({read}) => read.headers?.['x-review-service'] === 'old');
		const missing = own.filter(({added}) => added.statusCode === 404);
		wrong += oldService.length + missing.length;
		const last = oldService.at(-1);
		run.say(`${name}: ${own.length} requests of each kind sent later than ${configApplyMs} ms after the acknowledgement; run by the old service ${oldService.length}, 404 for the added route ${missing.length}${last === undefined ? '' : `, last ${((last.read.sentAtMs - acknowledgedAtMs) / 1000).toFixed(1)} s after it`}`);
	}

	for (const line of proxy.lostBytes()) {
		run.note(`lost bytes, ${line}`);
	}

	run.say(`requests handled as only the older version allows: ${wrong}`);
	return wrong > 0;
});
