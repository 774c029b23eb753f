import {expect} from 'chai';
import {
	runCrashExperiment, type CrashExperiment, type CrashResult, type Way,
} from './fake-fleet.ts';

const maxLostConnected = 2;
const maxLostPerSide = 2;
const sides = 2;
const seeds = Array.from({length: 10}, (_, index) => index + 1);

const base: Omit<CrashExperiment, 'seed' | 'way'> = {
	entries: 6, instances: 10, copies: 1, crashAfterMs: 10, exchangeMs: 50, innocentEveryMs: 2, durationMs: 4000,
};

type Case = {readonly title: string; readonly change: Partial<CrashExperiment>; readonly maxLost: number};

const cases: readonly Case[] = [
	{title: 'sent again and again through different entries', change: {}, maxLost: maxLostConnected},
	{title: 'sent through six entries at once', change: {copies: 6}, maxLost: maxLostConnected},
	{title: 'sent 44 times at once through three entries', change: {copies: 44, entries: 3}, maxLost: maxLostConnected},
	{title: 'sent through 44 entries at once', change: {copies: 44, entries: 44}, maxLost: maxLostConnected},
	{title: 'sent again while the entries are cut in two', change: {isCut: true}, maxLost: maxLostPerSide * sides},
	{title: 'sent at once through entries cut in two', change: {isCut: true, copies: 6}, maxLost: maxLostPerSide * sides},
];

const runSeeds = (way: Way, change: Partial<CrashExperiment>): readonly CrashResult[] =>
	seeds.map(seed => runCrashExperiment({
		...base, ...change, way, seed,
	}));

const maxLost = (results: readonly CrashResult[]): number => Math.max(...results.map(result => result.instancesLost));

describe('a request that crashes the instances that run it', function () {
	this.timeout(60_000);

	for (const {title, change, maxLost: bound} of cases) {
		it(`costs at most ${bound} instances when ${title}`, () => {
			expect(maxLost(runSeeds('homes', change))).to.be.at.most(bound);
		});
	}

	it('blocks no innocent request in flight with it', () => {
		const results = runSeeds('homes', {copies: 6});
		expect(results.some(result => result.innocentsHit > 0)).to.be.true;
		for (const result of results) {
			expect(result.innocentsRefused).to.equal(0);
		}
	});

	const lesserWays: ReadonlyArray<{readonly way: Way; readonly copies: number}> = [
		{way: 'naive', copies: 1},
		{way: 'counted', copies: 6},
		{way: 'counted-alone', copies: 6},
	];
	for (const {way, copies} of lesserWays) {
		it(`costs more instances with the way "${way}" and ${copies} copies at once`, () => {
			expect(maxLost(runSeeds(way, {copies}))).to.be.above(maxLostConnected);
		});
	}
});
