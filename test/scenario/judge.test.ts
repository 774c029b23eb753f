import {expect} from 'chai';
import type {InstanceCounts} from '@egretwing/standin';
import type {Expectation, Scenario} from './language/types.ts';
import {judge} from './runner/judge.ts';
import type {Observations} from './runner/observations.ts';

const startedAtMs = 1_700_000_000_000;

const scenario: Scenario = {
	hosts: 1, dataCentres: 1, durationMs: 9000, services: [], routes: [], loads: [], steps: [], expectations: [],
};

const countsOf = (wordAtMs: number | undefined, lastRequestAtMs: number): InstanceCounts => ({
	requests: 1,
	runs: 0,
	cancelled: 0,
	shed: 0,
	refusedDraining: 0,
	crashes: 0,
	probes: 0,
	connects: 0,
	inFlight: 0,
	firstRefusedDrainingAtMs: wordAtMs === undefined ? 0 : startedAtMs + wordAtMs,
	lastRequestAtMs: startedAtMs + lastRequestAtMs,
});

const observe = (counts: InstanceCounts): Observations => ({
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

const afterWord: Expectation = {type: 'no-new-work-after-word', instance: 'b-1', afterMs: 2000};
const fromTime: Expectation = {type: 'no-new-work', instance: 'b-1', fromMs: 5000};

describe('judge of new work at an instance that leaves', () => {
	const cases = [
		{
			title: 'takes the request that draws the word for no new work, however late', expectation: afterWord, counts: countsOf(7203, 7203), flaws: [],
		},
		{
			title: 'lets work arrive until the time after the word is over', expectation: afterWord, counts: countsOf(2000, 4000), flaws: [],
		},
		{
			title: 'finds work after that time', expectation: afterWord, counts: countsOf(2000, 4001), flaws: ['new work still 2001 ms after its word'],
		},
		{
			title: 'finds none at an instance that was asked for nothing since it drains', expectation: afterWord, counts: countsOf(undefined, 1900), flaws: [],
		},
		{
			title: 'lets work arrive until a fixed time', expectation: fromTime, counts: countsOf(undefined, 5000), flaws: [],
		},
		{
			title: 'finds work after a fixed time, a word or none', expectation: fromTime, counts: countsOf(7203, 7203), flaws: ['new work still at 7203 ms'],
		},
	];
	for (const {
		title, expectation, counts, flaws,
	} of cases) {
		it(title, () => {
			expect(judge(scenario, expectation, observe(counts))).to.deep.equal(flaws);
		});
	}
});
