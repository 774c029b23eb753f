import type http from 'node:http';
import {expect} from 'chai';
import type {AgentToEntry, EntryHost, FleetMember} from '@egretwing/core';
import {toObservation} from '../src/health-observation.ts';
import type {AttemptOutcome} from '../src/attempt.ts';
import {
	startFakeBackend, startHarness, type FakeBackend, type Harness,
} from './support/harness.ts';

const service = {
	kind: 'service', schemaVersion: 2, name: 'svc', revision: 1, floorShare: 0.5, falseEjectionsPerInstanceDay: 1, stallThresholdMs: 300, requestTimeoutMs: 3000,
};
const route = {
	kind: 'route', schemaVersion: 2, name: 'r', revision: 1, pathPrefix: '/', service: 'svc', semantics: 'idempotent',
};
const intervalMs = 10;
const instanceCount = 6;
const settleMs = 1500;

const member = (hostId: string): FleetMember => {
	const host: EntryHost = {
		role: 'entry', hostId, address: '127.0.0.1', region: 'r', dataCentre: 'd', state: 'live', entryPort: 1, locatePort: 1, peerPort: 1,
	};
	return {host, incarnation: 1, usable: true};
};

type Fault = (request: http.IncomingMessage, response: http.ServerResponse) => void;

const answerOk: Fault = (_request, response) => {
	response.end('ok');
};

/** Delivers the messages that each entry publishes to the others, as the agents do. */
const relay = (harnesses: readonly Harness[], names: readonly string[]): NodeJS.Timeout => {
	const read = harnesses.map(() => 0);
	return setInterval(() => {
		for (const [index, {agent}] of harnesses.entries()) {
			for (const message of agent.received.slice(read[index])) {
				if (message.type !== 'publish') {
					continue;
				}

				const delivered: AgentToEntry = {
					type: 'delivered', version: 1, from: names[index]!, body: message.body,
				};
				for (const to of message.to) {
					harnesses[names.indexOf(to)]?.agent.send(delivered);
				}
			}

			read[index] = agent.received.length;
		}
	}, intervalMs);
};

describe('ejection by real entries', function () {
	this.timeout(30_000);
	const names = ['e1', 'e2'];
	let backends: FakeBackend[];
	let harnesses: Harness[];
	const faults: Fault[] = [];
	let timers: NodeJS.Timeout[];
	const requests: number[] = [];

	beforeEach(async () => {
		requests.splice(0, Infinity, ...Array.from({length: instanceCount}, () => 0));
		faults.splice(0, Infinity, ...requests.map(() => answerOk));
		backends = await Promise.all(faults.map(async (_, index) => startFakeBackend(`i${index}`, 'svc', (request, response) => {
			requests[index]!++;
			faults[index]!(request, response);
		})));
		harnesses = await Promise.all(names.map(async hostId => startHarness({
			hostId, records: [service, route], instances: backends.map(({instance}) => instance), members: names.map(name => member(name)),
		})));
		timers = [relay(harnesses, names)];
		for (const {url} of harnesses) {
			timers.push(setInterval(async () => {
				await fetch(`${url}/x`).then(async response => response.text(), () => undefined);
			}, intervalMs));
		}
	});

	afterEach(async () => {
		for (const timer of timers) {
			clearInterval(timer);
		}

		for (const backend of backends) {
			backend.close();
		}

		await Promise.all(harnesses.map(async harness => harness.close()));
	});

	const standingsOf = async (instance: string): Promise<readonly string[]> => Promise.all(harnesses.map(async ({entry}) => {
		const response = await fetch(`http://127.0.0.1:${entry.operatorPort}/v1/explain?service=svc&instance=${instance}`);
		const {instances} = await response.json() as {readonly instances: ReadonlyArray<{readonly standing: {readonly kind: string}}>};
		return instances[0]?.standing.kind ?? 'none';
	}));

	const waitFor = async (instance: string, kinds: readonly string[]): Promise<number> => {
		const fromMs = performance.now();
		for (;;) {
			const standings = await standingsOf(instance);
			if (standings.every((kind, index) => kind === kinds[index])) {
				return performance.now() - fromMs;
			}

			if (performance.now() - fromMs > 15_000) {
				expect(standings).to.deep.equal(kinds);
			}

			await new Promise(resolve => {
				setTimeout(resolve, intervalMs);
			});
		}
	};

	const settle = async (): Promise<void> => new Promise(resolve => {
		setTimeout(resolve, settleMs);
	});

	const faultCases: ReadonlyArray<{readonly title: string; readonly fault: Fault}> = [
		{title: 'stalls', fault: () => undefined},
		{
			title: 'answers with errors',
			fault(_request, response) {
				response.writeHead(500).end();
			},
		},
		{
			title: 'resets connections',
			fault(request) {
				request.socket.destroy();
			},
		},
	];
	for (const {title, fault} of faultCases) {
		it(`ejects on both entries an instance that ${title}, and sends it no more work`, async () => {
			await settle();
			faults[2] = fault;
			await waitFor('i2', ['ejected', 'ejected']);
			const before = requests[2]!;
			await settle();
			expect(requests[2]! - before).to.be.at.most(1);
		});
	}

	it('uses an instance again after it has recovered', async () => {
		await settle();
		faults[2] = (request, response) => {
			response.writeHead(500).end();
		};

		await waitFor('i2', ['ejected', 'ejected']);
		faults[2] = answerOk;
		await waitFor('i2', ['use', 'use']);
	});

	it('sends no new requests from either entry after a response that announces draining', async () => {
		await settle();
		faults[2] = (_request, response) => {
			response.writeHead(503, {'x-draining': 'true'}).end();
		};

		await waitFor('i2', ['leaving', 'leaving']);
		const before = requests[2]!;
		await settle();
		expect(requests[2]).to.equal(before);
	});

	it('ejects no instance when all instances stall for a while', async () => {
		await settle();
		faults.fill((request, response) => {
			setTimeout(answerOk, 1200, request, response);
		});
		await settle();
		const standings = await Promise.all(backends.map(async ({instance}) => standingsOf(instance.hostId)));
		expect(standings.flat().filter(kind => kind === 'ejected' || kind === 'avoided')).to.deep.equal([]);
	});
});

describe('toObservation', () => {
	const times = {startedAtMs: 0, endedAtMs: 50, stallThresholdMs: 300};
	const cases: ReadonlyArray<{readonly title: string; readonly outcome: AttemptOutcome; readonly endedAtMs?: number; readonly expected: string}> = [
		{title: 'a failed connection', outcome: {type: 'not-written', reason: 'connect-failed'}, expected: 'connect-failed'},
		{title: 'a disconnected caller', outcome: {type: 'not-written', reason: 'caller-gone'}, expected: 'neutral'},
		{title: 'a lost connection', outcome: {type: 'unknown', reason: 'connection-lost'}, expected: 'failed'},
		{title: 'a timeout due to a short deadline', outcome: {type: 'unknown', reason: 'timeout'}, expected: 'neutral'},
		{
			title: 'a timeout after the stall threshold', outcome: {type: 'unknown', reason: 'timeout'}, endedAtMs: 400, expected: 'failed',
		},
		{title: 'a failure of the caller', outcome: {type: 'caller-failed', reason: 'caller-slow'}, expected: 'neutral'},
		{title: 'a shed request', outcome: {type: 'shed', statusCode: 503, headers: {}}, expected: 'neutral'},
	];
	for (const {title, outcome, endedAtMs, expected} of cases) {
		it(`maps ${title} to ${expected}`, () => {
			expect(toObservation(outcome, {...times, ...(endedAtMs !== undefined && {endedAtMs})}).kind).to.equal(expected);
		});
	}
});
