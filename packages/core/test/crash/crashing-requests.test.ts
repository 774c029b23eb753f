import {expect} from 'chai';
import {
	runCrashExperiment, type CrashExperiment, type CrashResult, type CrashPolicy,
} from './fake-fleet.ts';

const maxLostWithoutPartition = 2;
const maxLostPerPartition = 2;
const partitions = 2;
const seeds = Array.from({length: 10}, (_, index) => index + 1);

const base: Omit<CrashExperiment, 'seed' | 'policy'> = {
	entries: 6, instances: 10, copies: 1, crashAfterMs: 10, exchangeDelayMs: 50, harmlessIntervalMs: 2, durationMs: 4000,
};

type Case = {readonly title: string; readonly change: Partial<CrashExperiment>; readonly maxLost: number};

const cases: readonly Case[] = [
	{title: 'sent again and again through different entries', change: {}, maxLost: maxLostWithoutPartition},
	{title: 'sent through six entries at once', change: {copies: 6}, maxLost: maxLostWithoutPartition},
	{title: 'sent 44 times at once through three entries', change: {copies: 44, entries: 3}, maxLost: maxLostWithoutPartition},
	{title: 'sent through 44 entries at once', change: {copies: 44, entries: 44}, maxLost: maxLostWithoutPartition},
	{title: 'sent again and again while the entries are partitioned in two', change: {isPartitioned: true}, maxLost: maxLostPerPartition * partitions},
	{title: 'sent at once through entries that are partitioned in two', change: {isPartitioned: true, copies: 6}, maxLost: maxLostPerPartition * partitions},
];

const runSeeds = (policy: CrashPolicy, change: Partial<CrashExperiment>): readonly CrashResult[] =>
	seeds.map(seed => runCrashExperiment({
		...base, ...change, policy, seed,
	}));

const maxLost = (results: readonly CrashResult[]): number => Math.max(...results.map(result => result.instancesLost));

describe('a request that crashes the instances that run it', function () {
	this.timeout(60_000);

	for (const {title, change, maxLost: bound} of cases) {
		it(`costs at most ${bound} instances when ${title}`, () => {
			expect(maxLost(runSeeds('homes', change))).to.be.at.most(bound);
		});
	}

	it('does not get harmless requests refused that were in flight with it', () => {
		const results = runSeeds('homes', {copies: 6});
		expect(results.some(result => result.harmlessInterrupted > 0)).to.be.true;
		for (const result of results) {
			expect(result.harmlessRefused).to.equal(0);
		}
	});

	const weakerPolicies: ReadonlyArray<{readonly policy: CrashPolicy; readonly copies: number}> = [
		{policy: 'naive', copies: 1},
		{policy: 'counted', copies: 6},
		{policy: 'counted-alone', copies: 6},
	];
	for (const {policy, copies} of weakerPolicies) {
		it(`costs more instances with the policy "${policy}" and ${copies} copies at once`, () => {
			expect(maxLost(runSeeds(policy, {copies}))).to.be.above(maxLostWithoutPartition);
		});
	}
});
