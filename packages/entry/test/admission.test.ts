import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import type {FleetMember} from '@egretwing/core';
import {call, waitUntil} from './support/caller.ts';
import {
	startFakeBackend, startHarness, type FakeBackend, type Harness,
} from './support/harness.ts';

const service = {
	kind: 'service', schemaVersion: 2, name: 'rosterview', revision: 1, slotsPerInstance: 2, queueLength: 8, queueWaitMs: 200,
	requestTimeoutMs: 2000, maxAttempts: 3, retryBudgetShare: 0.1,
};
const route = {
	kind: 'route', schemaVersion: 2, name: 'rosters', revision: 1, pathPrefix: '/', service: 'rosterview', semantics: 'idempotent',
};
const initialRetryTokens = 3;

const readMetric = async (harness: Harness, line: string): Promise<number> => {
	const response = await fetch(`http://127.0.0.1:${harness.entry.operatorPort}/metrics`);
	const text = await response.text();
	return Number(text.split('\n').find(candidate => candidate.startsWith(line))?.split(' ').at(-1) ?? 0);
};

const member = (hostId: string): FleetMember => ({
	host: {
		role: 'entry', hostId, address: '127.0.0.1', region: 'r', dataCentre: 'd', state: 'live', entryPort: 1, locatePort: 1, peerPort: 1,
	},
	incarnation: 1,
	usable: true,
});

const callAll = async (urls: readonly string[]): Promise<unknown> => Promise.all(urls.map(async url => call(url)));

/** True once exactly two instances have died. */
const haveTwoDied = (died: readonly string[]) => (): boolean => new Set(died).size === 2;

describe('admission at an entry', function () {
	this.timeout(20_000);

	it('sends an instance no more requests at once than it has slots, answers all admitted requests and refuses the others as not run', async () => {
		let running = 0;
		let mostRunning = 0;
		let ran = 0;
		const backend = await startFakeBackend('i-1', 'rosterview', async (_incoming, response) => {
			running++;
			ran++;
			mostRunning = Math.max(mostRunning, running);
			await delay(20);
			running--;
			response.end('whole');
		});
		const harness = await startHarness({records: [service, route], instances: [backend.instance]});
		try {
			const exchanges = await Promise.all(Array.from({length: 60}, async (_, index) => call(`${harness.url}/rosters/${index}`)));
			const answered = exchanges.filter(({statusCode}) => statusCode === 200);
			const refused = exchanges.filter(({statusCode}) => statusCode !== 200);
			expect(mostRunning).to.be.at.most(service.slotsPerInstance);
			expect(answered.length).to.equal(ran);
			expect(refused).to.not.be.empty;
			for (const {ran: isRun, kind} of refused) {
				expect(isRun).to.equal('not-run');
				expect(kind).to.be.oneOf(['overloaded', 'queue-timeout', 'workspace-limit']);
			}

			expect(await readMetric(harness, 'egretwing_refusals_total{kind="overloaded"}')).to.be.above(0);
		} finally {
			await harness.close();
			backend.close();
		}
	});

	it('continues to prefer a fast instance after a slow upload whose duration was caused by the caller', async () => {
		const served = {quick: 0, slow: 0};
		const start = async (id: keyof typeof served, answerMs: number): Promise<FakeBackend> => startFakeBackend(id, 'rosterview', (incoming, response) => {
			served[id] += incoming.method === 'GET' ? 1 : 0;
			incoming.resume().once('end', async () => {
				await delay(answerMs);
				response.end('whole');
			});
		});
		const backends = [await start('quick', 1), await start('slow', 50)];
		const [{instance: quick}, {instance: slow}] = backends as [FakeBackend, FakeBackend];
		const harness = await startHarness({records: [service, route], instances: [quick]});
		const uploadMs = 1500;
		const body = async function * (): AsyncGenerator<Uint8Array> {
			yield Buffer.from('first');
			await delay(uploadMs);
			yield Buffer.from('last');
		};

		try {
			await call(`${harness.url}/recordings/1`, {method: 'PUT', body: body(), duplex: 'half'});
			harness.putInstances([quick, slow]);
			for (let index = 0; index < 20; index++) {
				await call(`${harness.url}/rosters/${index}`);
			}

			expect(served.quick).to.be.above(served.slow);
		} finally {
			await harness.close();
			for (const backend of backends) {
				backend.close();
			}
		}
	});

	it('limits retries to the retry budget when every connection is lost', async () => {
		let attempts = 0;
		const drop: http.RequestListener = incoming => {
			attempts++;
			incoming.socket.destroy();
		};

		const backends = await Promise.all(['i-1', 'i-2', 'i-3'].map(async id => startFakeBackend(id, 'rosterview', drop)));
		const harness = await startHarness({records: [service, route], instances: backends.map(({instance}) => instance)});
		const requests = 100;
		try {
			for (let index = 0; index < requests; index++) {
				await call(`${harness.url}/rosters/${index}`);
			}

			expect(await readMetric(harness, 'egretwing_retries_total')).to.be.above(0);
			expect(attempts).to.be.at.most(requests + (requests * service.retryBudgetShare) + initialRetryTokens);
			expect(await readMetric(harness, 'egretwing_retries_refused_total{service="rosterview",reason="budget"}')).to.be.above(0);
		} finally {
			await harness.close();
			for (const backend of backends) {
				backend.close();
			}
		}
	});
});

describe('a request that crashes instances', function () {
	this.timeout(20_000);

	const startCrashableBackends = async (died: string[]): Promise<readonly FakeBackend[]> => {
		const ids = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'];
		const backends: FakeBackend[] = [];
		for (const id of ids) {
			backends.push(await startFakeBackend(id, 'rosterview', (incoming, response) => {
				if (incoming.url === '/crash') {
					died.push(id);
					backends.find(({instance}) => instance.hostId === id)?.close();
					return;
				}

				response.end('whole');
			}));
		}

		return backends;
	};

	const withTwoEntries = async (run: (harnesses: readonly [Harness, Harness], died: readonly string[]) => Promise<void>): Promise<void> => {
		const died: string[] = [];
		const backends = await startCrashableBackends(died);
		const instances = backends.map(({instance}) => instance);
		const members = [member('e-1'), member('e-2')];
		const start = async (hostId: string): Promise<Harness> => startHarness({
			records: [service, route], instances, members, hostId,
		});
		const harnesses = [await start('e-1'), await start('e-2')] as const;
		let passed = 0;
		const exchange = setInterval(() => {
			const published = harnesses[0].agent.received.filter(message => message.type === 'publish');
			for (const {body} of published.slice(passed)) {
				harnesses[1].agent.send({
					type: 'delivered', version: 1, from: 'e-1', body,
				});
			}

			passed = published.length;
		}, 5);
		try {
			await run(harnesses, died);
		} finally {
			clearInterval(exchange);
			await Promise.all(harnesses.map(async harness => harness.close()));
			for (const backend of backends) {
				backend.close();
			}
		}
	};

	it('crashes at most two instances when sent concurrently through two entries, and blocks no other request', async () => {
		await withTwoEntries(async (harnesses, died) => {
			const urls = harnesses.flatMap(({url}) => Array.from<string>({length: 4}).fill(`${url}/crash`));
			await callAll(urls);
			await waitUntil(haveTwoDied(died));
			for (const {url} of harnesses) {
				for (let index = 0; index < 5; index++) {
					expect(await call(`${url}/crash`)).to.include({kind: 'crash-suspect', ran: 'not-run'});
					expect(await call(`${url}/rosters/${index}`)).to.include({kind: undefined, statusCode: 200});
				}
			}

			expect(new Set(died).size).to.equal(2);
			expect(await readMetric(harnesses[0], 'egretwing_refusals_total{kind="crash-suspect"}')).to.be.at.least(5);
		});
	});

	it('is refused by an entry that learned of the crashes only from another entry', async () => {
		await withTwoEntries(async ([first, second], died) => {
			await call(`${first.url}/crash`);
			await call(`${first.url}/crash`);
			await waitUntil(haveTwoDied(died));
			await delay(500);
			expect(await call(`${second.url}/crash`)).to.include({kind: 'crash-suspect', ran: 'not-run'});
			expect(died.length).to.equal(2);
		});
	});

	it('is not suspected if only its connections were lost', async () => {
		let isDropping = true;
		const backends = await Promise.all(['i-1', 'i-2', 'i-3'].map(async id => startFakeBackend(id, 'rosterview', (incoming, response) => {
			const {socket} = incoming;
			if (isDropping) {
				socket.destroy();
				return;
			}

			response.end('whole');
		})));
		const harness = await startHarness({records: [service, route], instances: backends.map(({instance}) => instance)});
		try {
			await call(`${harness.url}/rosters/1`);
			isDropping = false;
			await delay(1000);
			expect(await call(`${harness.url}/rosters/1`)).to.include({statusCode: 200});
		} finally {
			await harness.close();
			for (const backend of backends) {
				backend.close();
			}
		}
	});
});
