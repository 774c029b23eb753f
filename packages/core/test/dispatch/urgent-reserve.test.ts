/** Replays long unhurried requests that share the instances of a service with short urgent ones. */

import {expect} from 'chai';
import {requestKind} from '@egretwing/core';
import {createUrgentReserve} from '../../src/dispatch/urgent-reserve.ts';
import {createServiceTimes} from '../../src/dispatch/service-times.ts';
import {createInstances} from './load-model.ts';
import {replayContention, type Source} from './contention-model.ts';

const burstFromMs = 15_000;
const burstUntilMs = 21_000;

/** Twice the usual number of long requests during the burst. */
const sources: readonly Source[] = [
	{
		name: 'urgent', rank: 0, kind: requestKind('at-most-once', 513), serviceMs: 161, objectiveMs: 513, timeoutMs: 2000, perSecond: () => 22,
	},
	{
		name: 'long',
		rank: 2,
		kind: requestKind('idempotent', 6000),
		isIdempotent: true,
		serviceMs: 966,
		objectiveMs: 6000,
		timeoutMs: 8000,
		perSecond: nowMs => nowMs > burstFromMs && nowMs < burstUntilMs ? 33 : 16,
	},
];

const replayMixed = (seed: number, instances: number, isSlow: boolean) => {
	const outcomes = replayContention({
		seed,
		lengthMs: 28_000,
		gateways: 4,
		instances: createInstances(instances, 3),
		sources,
		countFromMs: 10_000,
		countUntilMs: 25_000,
		slowness: (instanceId, nowMs) => isSlow && Number(instanceId.slice(2)) < instances / 4 && nowMs > 12_000 && nowMs < 18_500 ? 5 : 1,
	});
	return {urgent: outcomes.get('urgent')!, long: outcomes.get('long')!};
};

describe('urgent short requests beside long ones', () => {
	const loads: ReadonlyArray<readonly [title: string, instances: number, isSlow: boolean]> = [
		['with room for nine tenths of the burst', 11, false],
		['with room for two thirds of it', 8, false],
		['with room for nine tenths, while a quarter of the instances is slow', 11, true],
		['with room for two thirds, while a quarter of the instances is slow', 8, true],
	];
	for (const [title, instances, isSlow] of loads) {
		for (const seed of [1, 2, 3]) {
			it(`are served no less often, by more than 5 in 100, than the long ones ${title}, seed ${seed}`, () => {
				const {urgent, long} = replayMixed(seed, instances, isSlow);
				expect(urgent.refused / urgent.asked).to.be.below((long.refused / long.asked) + 0.05);
				expect(urgent.inTime / urgent.asked).to.be.above((long.inTime / long.asked) - 0.15);
			});

			it(`leave the long ones served more than half as often ${title}, seed ${seed}`, () => {
				const {urgent, long} = replayMixed(seed, instances, isSlow);
				expect(1 - (long.refused / long.asked)).to.be.above((1 - (urgent.refused / urgent.asked)) / 2);
			});
		}
	}
});

describe('reserve for urgent requests', () => {
	const placement = (startedAtMs: number) => ({instanceId: 'i-1', startedAtMs, isTrial: false});

	/** Runs 20 requests a second of rank 0 for ten seconds, 200 ms each, one at a time in flight. */
	const createUsed = (): ReturnType<typeof createUrgentReserve> => {
		const reserve = createUrgentReserve();
		reserve.recordStart(placement(0), 1);
		for (let nowMs = 0; nowMs < 10_000; nowMs += 50) {
			reserve.recordArrival(0, nowMs);
			const placed = placement(nowMs - 200);
			reserve.recordStart(placed, 0);
			reserve.recordEnd(placed, true, nowMs);
		}

		return reserve;
	};

	// Four urgent requests at a time on average, and as many as their number varies by.
	const cases: ReadonlyArray<readonly [title: string, rank: number, serviceMs: number, free: number, isHeld: boolean]> = [
		['a long request while few slots are free', 1, 1000, 4, true],
		['no long request while more slots are free than the urgent ones need', 1, 1000, 8, false],
		['no request that is about as short as the urgent ones', 1, 300, 1, false],
		['no request of the same priority', 0, 1000, 1, false],
	];
	for (const [title, rank, serviceMs, free, isHeld] of cases) {
		it(`holds back ${title}`, () => {
			expect(createUsed().holdsBack(rank, serviceMs, () => ({usable: 30, inFlight: 30 - free, ownInFlight: 30 - free}), 10_000)).to.equal(isHeld);
		});
	}

	it('keeps no more than a third of the slots', () => {
		expect(createUsed().holdsBack(1, 1000, () => ({usable: 9, inFlight: 5, ownInFlight: 5}), 10_000)).to.equal(false);
	});

	it('keeps none of two slots', () => {
		expect(createUsed().holdsBack(1, 1000, () => ({usable: 2, inFlight: 1, ownInFlight: 1}), 10_000)).to.equal(false);
	});

	it('ends when no urgent requests arrive any more', () => {
		expect(createUsed().holdsBack(1, 1000, () => ({usable: 30, inFlight: 28, ownInFlight: 28}), 40_000)).to.equal(false);
	});
});

describe('service times', () => {
	it('are those of all requests while there is one kind', () => {
		const times = createServiceTimes();
		for (let index = 0; index < 50; index++) {
			times.record('a', 100);
		}

		expect(times.ofKindMs('a')).to.equal(times.meanMs());
	});

	it('are told apart by kind after five answers', () => {
		const times = createServiceTimes();
		for (let index = 0; index < 5; index++) {
			expect(times.ofKindMs('a')).to.equal(times.meanMs());
			times.record('a', 100);
			times.record('b', 1000);
		}

		expect([times.ofKindMs('a'), times.ofKindMs('b'), times.ofKindMs('c')]).to.deep.equal([100, 1000, times.meanMs()]);
	});
});
