import {expect} from 'chai';
import type {InstanceCounts} from '@egretwing/standin';
import type {Expectation, Scenario} from './language/types.ts';
import {checkExpectation} from './runner/check-expectation.ts';
import type {Observations} from './runner/observations.ts';

const startedAtMs = 1_700_000_000_000;

const scenario: Scenario = {
	hosts: 1, dataCentres: 1, durationMs: 9000, services: [], routes: [], loads: [], steps: [], expectations: [],
};

const createCounts = (drainingAtMs: number | undefined, lastRequestAtMs: number): InstanceCounts => ({
	requests: 1,
	runs: 0,
	cancelled: 0,
	shed: 0,
	refusedDraining: 0,
	crashes: 0,
	probes: 0,
	connects: 0,
	inFlight: 0,
	firstRefusedDrainingAtMs: drainingAtMs === undefined ? 0 : startedAtMs + drainingAtMs,
	lastRequestAtMs: startedAtMs + lastRequestAtMs,
});

const createObservations = (counts: InstanceCounts): Observations => ({
	startedAtMs,
	works: [],
	transfers: [],
	samples: [],
	exits: [],
	runs: [],
	instances: {'b-1': counts},
	publishedAtMs: new Map(),
	faultAtMs: new Map(),
	platformReads: 0,
});

const afterDraining: Expectation = {type: 'no-new-work-after-word', instance: 'b-1', afterMs: 2000};
const afterFixedTime: Expectation = {type: 'no-new-work', instance: 'b-1', fromMs: 5000};

describe('checkExpectation of new work at a leaving instance', () => {
	const cases = [
		{
			title: 'does not count the request that gets the first draining answer, however late', expectation: afterDraining, counts: createCounts(7203, 7203), failures: [],
		},
		{
			title: 'accepts work within the time after the first draining answer', expectation: afterDraining, counts: createCounts(2000, 4000), failures: [],
		},
		{
			title: 'reports work after that time', expectation: afterDraining, counts: createCounts(2000, 4001), failures: ['last request arrived 2001 ms after the first draining answer'],
		},
		{
			title: 'reports nothing at an instance that got no request since it drains', expectation: afterDraining, counts: createCounts(undefined, 1900), failures: [],
		},
		{
			title: 'accepts work until a fixed time', expectation: afterFixedTime, counts: createCounts(undefined, 5000), failures: [],
		},
		{
			title: 'reports work after a fixed time even if it was answered as draining', expectation: afterFixedTime, counts: createCounts(7203, 7203), failures: ['last request arrived at 7203 ms'],
		},
	];
	for (const {
		title, expectation, counts, failures,
	} of cases) {
		it(title, () => {
			expect(checkExpectation(scenario, expectation, createObservations(counts))).to.deep.equal(failures);
		});
	}
});
