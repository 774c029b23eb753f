/* eslint-disable camelcase, no-await-in-loop, no-unmodified-loop-condition -- names of the wire; steps in series */
/**
 * Half of the machines lose power for two seconds, among them the two that read the store, and the configuration changes meanwhile. The
 * others take two to three seconds to find that nobody reads the store for them, and keep to the old configuration.
 */

import {setTimeout as delay} from 'node:timers/promises';
import {createClient} from '../client.mjs';
import {startGateways} from '../gateways.mjs';
import {startInstance} from '../instance.mjs';
import {createNetwork, runCase} from '../run.mjs';
import {putConfig, startStore} from '../store.mjs';

const darkMs = 2000;
const changeAfterMs = 100;
const configApplyMs = 2000;
const observedMs = 4000;
const requestIntervalMs = 40;
const machinesPerZone = 4;
const killedCount = 6;

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
	const instances = await Promise.all(Array.from({length: 2 * zones.length}, async (_, number) => startInstance(run, {
		instanceId: `i-${number}`, address: addressOf(20 + number), service: services[number % services.length], zone: zones[number % zones.length], slots: 16, workMs: () => 20,
	})));
	for (const instance of instances) {
		instance.register(store);
	}

	const machines = zones.flatMap((zone, number) => Array.from({length: machinesPerZone}, (_, index) => ({
		name: `front-${zone}-${index}`, zone, address: addressOf(40 + (number * machinesPerZone) + index),
	})));
	const gateways = await startGateways(run, {machines, store});
	await delay(5000);

	const readers = machines.filter(({address}) => store.watchers(1500).includes(address));
	run.say(`the store is read by ${readers.map(({name}) => name).join(', ')}`);
	const killed = [...readers, ...machines.filter(machine => !readers.includes(machine))].slice(0, killedCount);
	const others = machines.filter(machine => !killed.includes(machine));
	const calls = [];
	let isEnding = false;
	const loads = others.map(async machine => {
		const client = createClient(run, machine.address, gateways.ports.front);
		while (!isEnding) {
			calls.push({machine, read: await client.send({target: '/read/1'}), added: await client.send({method: 'POST', target: '/added/1', bodyBytes: 300})});
			await delay(requestIntervalMs);
		}
	});
	await delay(500);
	if (run.isTrouble) {
		const dark = killed.map(({name}) => gateways.child(name));
		for (const child of dark) {
			child.kill('SIGSTOP');
		}

		run.say(`dark: ${killed.map(({name}) => name).join(', ')}`);
		// The machines have power again after `darkMs`, and their processes start anew.
		setTimeout(() => {
			for (const child of dark) {
				child.kill('SIGKILL');
			}
		}, darkMs);
	}

	await delay(changeAfterMs);
	putConfig(store, 2, routes('new'), services);
	const acknowledgedAtMs = run.nowMs();
	run.say('the store has acknowledged version 2: /read/ moves to the service "new", /added/ is added');
	await delay(configApplyMs + observedMs);
	isEnding = true;
	await Promise.all(loads);

	let wrong = 0;
	for (const machine of others) {
		const late = calls.filter(call => call.machine === machine && call.read.sentAtMs > acknowledgedAtMs + configApplyMs);
		const oldService = late.filter(({read}) => read.headers?.['x-review-service'] === 'old');
		const missing = late.filter(({added}) => added.statusCode === 404);
		wrong += oldService.length + missing.length;
		const last = oldService.at(-1);
		run.say(`${machine.name}: ${late.length} requests of each kind sent later than ${configApplyMs} ms after the acknowledgement; run by the old service ${oldService.length}, 404 for the added route ${missing.length}${last === undefined ? '' : `, last ${Math.round(last.read.sentAtMs - acknowledgedAtMs)} ms after it`}`);
	}

	run.say(`requests handled as only the older version allows: ${wrong}`);
	return wrong > 0;
});
