import {expect} from 'chai';
import {createFleetPolicy, runModel, type ModelConfig} from './support/health-model.ts';

const seed = 33;
const cutFromMs = 30_000;
const cutUntilMs = 60_000;
const entryCount = 6;
const instanceId = 'i3';

/** Instance 3 can't be reached from the first `cutEntries` entries, or flaps for all of them. */
const cases = [
	{title: 'one entry of six is cut off', cutEntries: 1, periodMs: Infinity},
	{title: 'two entries of six are cut off', cutEntries: 2, periodMs: Infinity},
	{title: 'the cut of two entries comes and goes', cutEntries: 2, periodMs: 3000},
];

const configOf = (cutEntries: number, periodMs: number): ModelConfig => ({
	seed,
	entryCount,
	instanceCount: 12,
	requestsPerSecond: 120,
	idempotentShare: 0.5,
	floorShare: 0.5,
	falseEjectionsPerInstanceDay: 0.01,
	stallThresholdMs: 1000,
	durationMs: 90_000,
	onsets: [],
	isFaulty: () => false,
	behaviour(instance, entry, nowMs) {
		const isInCut = nowMs >= cutFromMs && nowMs < cutUntilMs && (periodMs === Infinity || Math.floor(nowMs / periodMs) % 2 === 0);
		return {failureShare: isInCut && instance === 3 && entry < cutEntries ? 1 : 0.01, stallShare: 0, latencyMs: 20};
	},
});

describe('instance that only some entries can not reach', () => {
	for (const {title, cutEntries, periodMs} of cases) {
		it(`stays in use at the other entries when ${title}, and comes back at all`, function () {
			this.timeout(60_000);
			const outAtMs = new Map<number, number>();
			let outElsewhere = 0;
			let outAtEnd = 0;
			runModel(configOf(cutEntries, periodMs), createFleetPolicy, (entries, nowMs) => {
				outAtEnd = 0;
				for (const [entry, {health}] of entries.entries()) {
					const isOut = health!.standing(instanceId)!.kind !== 'use';
					outAtEnd += isOut ? 1 : 0;
					outElsewhere += isOut && entry >= cutEntries ? 1 : 0;
					if (isOut && !outAtMs.has(entry)) {
						outAtMs.set(entry, nowMs);
					}
				}
			});
			expect(outElsewhere, 'ticks out of use at entries that reach it').to.equal(0);
			expect([...outAtMs.keys()], 'entries that avoided it').to.have.members(Array.from({length: cutEntries}, (_, index) => index));
			expect(outAtEnd).to.equal(0);
		});
	}
});
