import {expect} from 'chai';
import {createFleetPolicy, runModel, type ModelConfig} from './support/health-model.ts';

const seed = 33;
const faultFromMs = 30_000;
const faultUntilMs = 60_000;
const entryCount = 6;
const instanceId = 'i3';

/**
 * Instance 3 fails for the first `affectedEntryCount` entries between `faultFromMs` and `faultUntilMs`. With a finite
 * `periodMs` it fails and works in turn, for that long each.
 */
const cases = [
	{title: 'one of six entries can not reach it', affectedEntryCount: 1, periodMs: Infinity},
	{title: 'two of six entries can not reach it', affectedEntryCount: 2, periodMs: Infinity},
	{title: 'it flaps for two of six entries', affectedEntryCount: 2, periodMs: 3000},
];

const configOf = (affectedEntryCount: number, periodMs: number): ModelConfig => ({
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
		const isActive = nowMs >= faultFromMs && nowMs < faultUntilMs && (periodMs === Infinity || Math.floor(nowMs / periodMs) % 2 === 0);
		return {failureShare: isActive && instance === 3 && entry < affectedEntryCount ? 1 : 0.01, stallShare: 0, latencyMs: 20};
	},
});

describe('instance that only some entries can not reach', () => {
	for (const {title, affectedEntryCount, periodMs} of cases) {
		it(`stays in use at the other entries when ${title}, and returns to use at all entries`, function () {
			this.timeout(60_000);
			const outOfUseSinceMs = new Map<number, number>();
			let outOfUseElsewhere = 0;
			let outOfUseAtEnd = 0;
			runModel(configOf(affectedEntryCount, periodMs), createFleetPolicy, (entries, nowMs) => {
				outOfUseAtEnd = 0;
				for (const [entry, {health}] of entries.entries()) {
					const isOutOfUse = health!.standing(instanceId)!.kind !== 'use';
					outOfUseAtEnd += isOutOfUse ? 1 : 0;
					outOfUseElsewhere += isOutOfUse && entry >= affectedEntryCount ? 1 : 0;
					if (isOutOfUse && !outOfUseSinceMs.has(entry)) {
						outOfUseSinceMs.set(entry, nowMs);
					}
				}
			});
			expect(outOfUseElsewhere, 'ticks out of use at entries that reach it').to.equal(0);
			expect([...outOfUseSinceMs.keys()], 'entries that avoided it').to.have.members(Array.from({length: affectedEntryCount}, (_, index) => index));
			expect(outOfUseAtEnd).to.equal(0);
		});
	}
});
