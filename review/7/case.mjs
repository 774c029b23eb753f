/**
 * An instance leaves while one gateway stands still; the other gateways are killed at the same moment and start again before it goes on.
 *
 * The instance serves on for some seconds after its entry is gone, as instances do that never report that they drain, and ends then.
 */
/* eslint no-await-in-loop: off -- the steps come one after the other */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	configOf, createCallers, deployments, names, note, nowMs, pickAddress, pickPorts, runCase, startGateway, startInstance, startStore, waitFor,
} from '../stand-2.mjs';

/** TROUBLE=0 plays the case without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const deployment = deployments.vltava;
const {drain_ms: drainMs, contact_ms: contactMs} = deployment.bounds;
const deadlineMs = 6196;
const workMs = 260;
const callersPerGateway = 8;
const instanceCount = 6;
const gatewayCount = 4;

/** How long the frozen gateway stands still, and when the instance leaves and the others are killed, counted from the freeze. */
const freezeMs = 5000;
const killAfterMs = 500;
const leaveAfterMs = 600;
const restartAfterMs = 300;
/** How long the instance serves on after the gateways are in touch again, and how long the callers go on after its end. */
const servesOnMs = 6000;
const afterEndMs = 2000;

await runCase({recordFile: 'review/7/record.txt', hasTrouble}, async onEnd => {
	const address = pickAddress();
	const store = await startStore(address);
	onEnd(store.close);
	store.put('op/config', configOf(1, deployment, [{
		name: 'postings', prefix: '/xapu221/', type: 'unsafe', service: 'wuno96b', timeoutMs: deadlineMs,
	}]));
	const arrivals = [];
	const instances = [];
	for (let index = 0; index < instanceCount; index++) {
		const id = `i-${index}`;
		const instance = await startInstance(address, {
			id, service: 'wuno96b', store, async work(_request, response, _body, headers) {
				arrivals.push({id, requestId: headers[names.requestId], atMs: Math.round(nowMs())});
				await delay(workMs);
				response.writeHead(200, {...headers, 'content-length': 2}).end('ok');
			},
		});
		instances.push(instance);
		onEnd(instance.close);
	}

	const ports = await pickPorts(address);
	const addresses = Array.from({length: gatewayCount}, (_, index) => address.replace(/\d+$/v, String(101 + index)));
	const gateways = await Promise.all(addresses.map(async (gatewayAddress, index) => startGateway(gatewayAddress, {
		storeAddress: store.address, deployment, ports, seeds: addresses.slice(0, 3), number: index + 1,
	})));
	for (const gateway of gateways) {
		onEnd(gateway.stop);
	}

	await delay(5000);
	store.takeCallers();
	await delay(2000);
	const readers = store.takeCallers();
	// Two gateways read the store; the frozen one is another.
	const frozen = gateways.find(gateway => !readers.has(gateway.address));
	const others = gateways.filter(gateway => gateway !== frozen);
	note('gateways', {readers: [...readers], frozen: frozen.address});
	const results = [];
	const play = {isOver: false};
	const runCaller = async (name, gateway, caller) => {
		const callers = createCallers(gateway, {
			method: 'POST', target: '/xapu221/x', deadlineMs, body: 'body',
		});
		for (let count = 0; !play.isOver; count++) {
			results.push(await callers.ask(`${name}-${caller}-${count}`));
			await delay(100);
		}
	};

	const playing = Array.from({length: callersPerGateway}, async (_, caller) => Promise.all([runCaller('restarted', others[0], caller), runCaller('frozen', frozen, caller)]));
	await delay(2000);
	const stoppedAtMs = nowMs();
	const untilAfterStop = async ms => delay(Math.max(0, stoppedAtMs + ms - nowMs()));
	if (hasTrouble) {
		note('SIGSTOP', {gateway: frozen.address});
		frozen.child.kill('SIGSTOP');
	}

	await untilAfterStop(killAfterMs);
	if (hasTrouble) {
		for (const gateway of others) {
			note('SIGKILL', {gateway: gateway.address});
			gateway.child.kill('SIGKILL');
		}
	}

	await untilAfterStop(leaveAfterMs);
	instances[0].leave();
	const leftAtMs = nowMs();
	if (hasTrouble) {
		await waitFor('ends of the processes', () => others.every(({ends}) => ends.length === 1), 2000);
		await untilAfterStop(killAfterMs + restartAfterMs);
		for (const gateway of others) {
			gateway.start();
		}
	}

	await untilAfterStop(freezeMs);
	if (hasTrouble) {
		note('SIGCONT', {gateway: frozen.address});
		frozen.child.kill('SIGCONT');
		for (const gateway of others) {
			await waitFor('gateway ready', async () => gateway.isReady(), 10_000);
		}
	}

	const inTouchAtMs = Math.round(nowMs() + contactMs);
	await delay(contactMs + servesOnMs);
	const endedAtMs = Math.round(nowMs());
	note('instance ends', {instance: 'i-0'});
	instances[0].close();
	await delay(afterEndMs);
	play.isOver = true;
	await Promise.all(playing);
	const sentAtMsById = new Map(results.map(({requestId, sentAtMs}) => [requestId, sentAtMs]));
	const late = arrivals.filter(({id, requestId, atMs}) => id === 'i-0' && sentAtMsById.get(requestId) > inTouchAtMs && atMs > leftAtMs + drainMs);
	for (const arrival of late) {
		note('arrived at the instance that has left', arrival);
	}

	const lateIds = new Set(late.map(({requestId}) => requestId));
	const lost = results.filter(({requestId, statusCode}) => lateIds.has(requestId) && statusCode !== 200);
	note('outcome', {
		leftAtMs: Math.round(leftAtMs),
		inTouchAtMs,
		endedAtMs,
		arrivals: arrivals.filter(({atMs}) => atMs > inTouchAtMs).length,
		late: late.length,
		lateByRestarted: late.filter(({requestId}) => requestId.startsWith('restarted')).length,
		lateAndLost: lost.length,
	});
	if (late.length === 0) {
		return [];
	}

	const lastMs = Math.round(late.at(-1).atMs - leftAtMs);
	return [`DRAIN: ${late.length} unsafe requests reached an instance up to ${lastMs} ms after its entry was removed, from gateways in touch; ${lost.length} of them were lost when it ended`];
});
