/** A trial of the report, not a case: half of the instances answer with heads of very many short fields that don't end. */
/* eslint no-await-in-loop: off -- the steps come one after the other */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	configOf, createCallers, deployments, lostOf, names, note, nowMs, pickAddress, runCase, startGateway, startInstance, startStore,
} from './stand-2.mjs';

/** TROUBLE=0 plays the case without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const deployment = deployments.vltava;
const deadlineMs = 6196;
const instanceCount = Number(process.env.INSTANCES ?? 70);
const callerCount = Number(process.env.CALLERS ?? 260);
await runCase({recordFile: 'target/answer-heads-2.txt', hasTrouble}, async onEnd => {
	const address = pickAddress();
	const store = await startStore(address);
	onEnd(store.close);
	store.put('op/config', configOf(1, deployment, [{
		name: 'postings', prefix: '/xapu221/', type: 'unsafe', service: 'wuno96b', timeoutMs: deadlineMs,
	}]));
	const runs = new Map();
	const faulty = {isOn: false, now: 0, most: 0};
	for (let index = 0; index < instanceCount; index++) {
		const instance = await startInstance(address, {
			id: `i-${index}`, service: 'wuno96b', store, runs, isQuiet: true, async work(request, response, _body, headers) {
				if (faulty.isOn && index % 2 === 0) {
					faulty.now++;
					faulty.most = Math.max(faulty.most, faulty.now);
					const {socket} = request;
					socket.on('error', () => undefined);
					let text = `HTTP/1.1 200 OK\r\n${names.requestId}: ${headers[names.requestId]}\r\n`;
					text += 'ab:\r\n'.repeat(Math.floor((125_000 - text.length) / 5));
					socket.write(Buffer.from(text));
					const timer = setInterval(() => {
						socket.write('a');
					}, 200);
					socket.once('close', () => {
						faulty.now--;
						clearInterval(timer);
					});
					return;
				}

				await delay(260);
				response.writeHead(200, {...headers, 'content-length': 2}).end('ok');
			},
		});
		onEnd(instance.close);
	}

	const gateway = await startGateway(address, {storeAddress: store.address, deployment});
	onEnd(gateway.stop);
	await delay(3500);
	const callers = createCallers(gateway, {
		method: 'POST', target: '/xapu221/x', deadlineMs, body: 'body', maxSockets: 1000, isQuiet: true,
	});
	const results = [];
	const untilMs = nowMs() + 14_000;
	const playing = Promise.all(Array.from({length: callerCount}, async (_, caller) => {
		for (let count = 0; nowMs() < untilMs && gateway.ends.length === 0; count++) {
			results.push(await callers.ask(`c-${caller}-${count}`));
		}
	}));
	let peak = 0;
	const sampler = setInterval(() => {
		peak = Math.max(peak, gateway.residentMegabytes());
	}, 50);
	onEnd(() => {
		clearInterval(sampler);
	});
	await delay(3000);
	faulty.isOn = hasTrouble;
	await playing;
	const lost = lostOf(results, runs);
	note('outcome', {
		served: results.filter(({statusCode}) => statusCode === 200).length,
		all: results.length,
		lost: lost.length,
		mostFaultyAnswers: faulty.most,
		peakMegabytes: peak,
		ends: gateway.ends,
		lastWords: gateway.lastWords(),
	});
	return lost.length > 3 && gateway.ends.length > 0 ? [`LOST: the process ended by itself (${gateway.lastWords()}), and ${lost.length} unsafe requests from kept connections got no answer`] : [];
});
