/** Replays workspaces that compete for the slots of a service, one of which sends many times its usual. */

import {expect} from 'chai';
import {createInstances} from './load-model.ts';
import {
	replayContention, type ContentionLoad, type Source, type SourceOutcome,
} from './contention-model.ts';

const hotFromMs = 20_000;
const hotUntilMs = 26_500;
const hotName = 'w-3';

/** Requests of 20 workspaces, a few of them large. */
const createSources = (hotFactor: number, isNamed = true): readonly Source[] => Array.from({length: 20}, (_, index) => {
	const name = `w-${index}`;
	const usualPerSecond = 40 / ((index + 1) ** 1.2);
	return {
		name,
		...(isNamed && {workspace: name}),
		rank: 1,
		serviceMs: 240,
		objectiveMs: 1005,
		timeoutMs: 2500,
		perSecond: nowMs => usualPerSecond * (name === hotName && nowMs > hotFromMs && nowMs < hotUntilMs ? hotFactor : 1),
	};
});

const createLoad = (seed: number, sources: readonly Source[], instances = 8): ContentionLoad => ({
	seed, lengthMs: 28_000, gateways: 4, instances: createInstances(instances, 3), sources, countFromMs: hotFromMs, countUntilMs: hotUntilMs,
});

const sumOf = (outcomes: ReadonlyArray<Readonly<SourceOutcome>>, field: keyof SourceOutcome): number => outcomes.reduce((sum, outcome) => sum + outcome[field], 0);

const shareOf = (outcomes: ReadonlyArray<Readonly<SourceOutcome>>, field: keyof SourceOutcome): number => sumOf(outcomes, field) / sumOf(outcomes, 'asked');

const split = (outcomes: ReadonlyMap<string, Readonly<SourceOutcome>>) => ({
	all: [...outcomes.values()],
	hot: [outcomes.get(hotName)!],
	others: [...outcomes].filter(([name]) => name !== hotName).map(([, outcome]) => outcome),
});

describe('contention between workspaces', () => {
	for (const seed of [1, 2, 3]) {
		it(`is paid for by the one that sends 7.5 times its usual: the others are served as with its usual load, seed ${seed}`, () => {
			const usual = split(replayContention(createLoad(seed, createSources(1))));
			const {all, hot, others} = split(replayContention(createLoad(seed, createSources(7.5))));
			const unnamed = split(replayContention(createLoad(seed, createSources(7.5, false))));
			expect(shareOf(others, 'refused')).to.be.below(shareOf(usual.others, 'refused') + 0.03);
			expect(shareOf(hot, 'refused')).to.be.above(2 * shareOf(others, 'refused'));
			// As many are served in time in all as without workspaces, as far as arrivals vary.
			expect(shareOf(all, 'inTime')).to.be.above(shareOf(unnamed.all, 'inTime') - 0.03);
		});

		it(`costs the others fewer requests than without workspaces, and the one itself most of what it costs, seed ${seed}`, () => {
			const usual = split(replayContention(createLoad(seed, createSources(1), 10)));
			const {hot, others} = split(replayContention(createLoad(seed, createSources(7.5), 10)));
			const unnamed = split(replayContention(createLoad(seed, createSources(7.5, false), 10)));
			expect(shareOf(others, 'refused')).to.be.below(shareOf(unnamed.others, 'refused'));
			/** Refusals beyond those with the usual load. */
			const added = (outcomes: ReadonlyArray<Readonly<SourceOutcome>>): number => sumOf(outcomes, 'refused') - (sumOf(outcomes, 'asked') * shareOf(usual.all, 'refused'));
			expect(added(hot)).to.be.above(added(others));
		});

		it(`leaves each workspace served at least a quarter as often as all with half of the room that is needed, seed ${seed}`, () => {
			const outcomes = replayContention(createLoad(seed, createSources(7.5), 5));
			const {all} = split(outcomes);
			const served = 1 - shareOf(all, 'refused');
			const worst = Math.min(...all.map(outcome => 1 - shareOf([outcome], 'refused')));
			expect(served).to.be.below(0.7);
			expect(worst).to.be.above(served / 4);
		});

		it(`refuses displaced requests before their objective has passed, seed ${seed}`, () => {
			const {hot} = split(replayContention(createLoad(seed, createSources(7.5), 5)));
			expect(hot[0]!.longestRefusalMs).to.be.below(1005);
		});
	}
});
