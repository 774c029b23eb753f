import {expect} from 'chai';
import {
	createCatalogue, createManualClock, createRandom, type DispatcherState, type DispatchReport,
} from '@egretwing/core';
import {createErrorBarrier, createLogger} from '@egretwing/node';
import {createDispatchers, type Dispatchers} from '../src/dispatchers.ts';
import {openBarrier} from './support/errors.ts';

const createSubject = (instances = 1) => {
	const clock = createManualClock(1000);
	const reports: DispatchReport[] = [];
	const states: DispatcherState[] = [];
	const catalogue = createCatalogue();
	catalogue.mergeInstances(Array.from({length: instances}, (_, index) => ({
		instanceId: `i-${index + 1}`,
		revision: index + 1,
		record: {
			service: 's', address: '10.0.0.1', port: 80 + index, dataCentre: 'a', slots: 2, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
		},
	})), instances, clock.nowMs());
	const dispatchers = createDispatchers({
		dataCentre: 'a',
		catalogue,
		random: createRandom(1),
		nowMs: clock.nowMs,
		logger: createLogger('test', 'h', 0),
		errors: openBarrier,
		isUnplaced: () => false,
		sendReport(_service, report) {
			reports.push(report);
		},
		onState(_service, state) {
			states.push(state);
		},
	});
	const runMs = (durationMs: number): void => {
		for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
			clock.advanceMs(100);
			dispatchers.tick();
		}
	};

	return {
		clock, dispatchers, reports, runMs, states,
	};
};

const place = async (dispatchers: Dispatchers, nowMs: number) => dispatchers.place('s', {
	requestId: 'r',
	rank: 0,
	isIdempotent: false,
	isReturning: false,
	bodyBytes: 0,
	objectiveAtMs: nowMs + 800,
	finalAtMs: nowMs + 1200,
	attemptedIds: [],
}, new AbortController().signal);

describe('reports between gateways', () => {
	it('are repeated while a request is in flight, but not after it has ended', async () => {
		const {
			clock, dispatchers, reports, runMs,
		} = createSubject();
		const placed = await place(dispatchers, clock.nowMs());
		runMs(1000);
		expect(reports.length).to.be.within(2, 3);
		if (placed.type !== 'send') {
			throw new Error(`expected an instance, got ${placed.type}`);
		}

		dispatchers.finish('s', placed.placement, 'good');
		reports.length = 0;
		runMs(3000);
		expect(reports.map(({instances}) => instances.map(({inFlight}) => inFlight))).to.deep.equal([[0]]);
	});

	for (const instances of [20, 60]) {
		it(`name all requests in flight at ${instances} instances within a second`, async () => {
			const {
				clock, dispatchers, reports, runMs,
			} = createSubject(instances);
			const peer = createSubject(instances);
			for (let index = 0; index < instances; index++) {
				await place(dispatchers, clock.nowMs());
			}

			for (let passedMs = 0; passedMs < 1000; passedMs += 100) {
				runMs(100);
				peer.clock.advanceMs(100);
				for (const report of reports.splice(0)) {
					peer.dispatchers.receiveReport('s', 'peer', report);
				}
			}

			expect(peer.dispatchers.explain('s').inFlight).to.equal(instances);
		});
	}

	it('name an instance that broke a request at once, with requests in flight at 59 others', async () => {
		const {
			clock, dispatchers, reports,
		} = createSubject(60);
		const placed = [];
		for (let index = 0; index < 60; index++) {
			placed.push(await place(dispatchers, clock.nowMs()));
		}

		const last = placed.at(-1);
		if (last?.type !== 'send') {
			throw new Error('expected an instance for each request');
		}

		dispatchers.finish('s', last.placement, 'broken');
		const reported = reports.flatMap(({instances}) => instances).find(({instanceId}) => instanceId === last.placement.instanceId);
		expect(reported?.avoidMs).to.be.above(0);
	});
});

describe('state of a service', () => {
	it('is reported once a second while requests arrive, with the instances that await a trial', async () => {
		const {
			clock, dispatchers, runMs, states,
		} = createSubject();
		const placed = await place(dispatchers, clock.nowMs());
		if (placed.type !== 'send') {
			throw new Error('expected a placement');
		}

		dispatchers.finish('s', placed.placement, 'broken');
		dispatchers.recordOutcome('s', false);
		runMs(900);
		expect(states).to.deep.equal([{
			known: 1, avoided: 1, awaitingTrial: 0, rested: 0, paused: 0, isSpread: false, answered: 1, unserved: 1,
		}]);
		runMs(5000);
		expect(states).to.have.length(1);
		await place(dispatchers, clock.nowMs());
		runMs(100);
		expect(states.at(-1)).to.include({avoided: 0, awaitingTrial: 1});
		dispatchers.pause('s', {
			instanceId: 'i-1', bornAtMs: 1, address: '10.0.0.1', port: 80,
		}, 5000);
		runMs(1000);
		await place(dispatchers, clock.nowMs());
		runMs(100);
		expect(states.at(-1)).to.include({paused: 1});
	});
});

describe('tick of the dispatchers', () => {
	// Guards against one service whose error keeps the queues of all services after it from being served.
	it('goes on with the other services when one fails', async () => {
		const clock = createManualClock(1000);
		const catalogue = createCatalogue();
		catalogue.mergeInstances(['s', 't'].map((service, index) => ({
			instanceId: `i-${service}`,
			revision: index + 1,
			record: {
				service, address: '10.0.0.1', port: 80 + index, dataCentre: 'a', slots: 2, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
			},
		})), 2, clock.nowMs());
		const reported: string[] = [];
		const errorLines: string[] = [];
		const dispatchers = createDispatchers({
			dataCentre: 'a',
			catalogue,
			random: createRandom(1),
			nowMs: clock.nowMs,
			logger: createLogger('test', 'h', 0),
			errors: createErrorBarrier({
				logger: createLogger('test', 'h', 0, line => {
					errorLines.push(line);
				}),
				nowMs: clock.nowMs,
			}),
			isUnplaced: () => false,
			sendReport(service) {
				reported.push(service);
				if (service === 's') {
					throw new Error('report');
				}
			},
			onState: () => undefined,
		});
		for (const service of ['s', 't']) {
			await dispatchers.place(service, {
				requestId: 'r', rank: 0, isIdempotent: true, isReturning: false, bodyBytes: 0, objectiveAtMs: 2000, finalAtMs: 3000, attemptedIds: [],
			}, new AbortController().signal);
		}

		clock.advanceMs(100);
		dispatchers.tick();
		await Promise.resolve();
		expect(reported).to.deep.equal(['s', 't']);
		expect(errorLines).to.have.length(1);
	});
});
