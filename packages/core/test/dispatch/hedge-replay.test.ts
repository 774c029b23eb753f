import {expect} from 'chai';
import {
	createRandom, createRetryWindow, hedgeDelayMs, type Random,
} from '@egretwing/core';

const seeds = [1, 2, 3, 4, 5];
const requestCount = 4000;
const requestsPerSecond = 40;
const meanMs = 160;
/** Mean service time of the service, which longer requests that can't be repeated raise. */
const serviceMs = 250;
const objectiveMs = 600;
const deadlineMs = 1200;
const limits = {ratio: 0.2, slack: 60, windowMs: 10_000};
/** This gateway's share of the slack: callers are sent to eight. */
const slackShare = 0.08;

/** Three mean service times, whatever the objective is. */
const lateDelayMs = 3 * serviceMs;

type Load = {
	/** Share of the requests that their instance holds until they time out. */
	readonly heldShare: number;
	/** Share of the requests for which another cause takes a retry from the budget. */
	readonly otherRetryShare: number;
};

type Result = {readonly inTimeShare: number; readonly hedgeShare: number};

/** Log-normal service time with a spread of 0.8. */
const drawServiceMs = (random: Random): number => {
	const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
	return meanMs * Math.exp((0.8 * normal) - 0.32);
};

/** Replays requests that may be repeated, each with one hedge at most, and returns how many were answered within the objective. */
const replay = (seed: number, {heldShare, otherRetryShare}: Load, delayOf: (nowMs: number, usedBudgetShare: number) => number): Result => {
	const random = createRandom(seed);
	const window = createRetryWindow(limits);
	const drawAnswerMs = (): number => random.next() < heldShare ? Number.POSITIVE_INFINITY : drawServiceMs(random);
	let inTime = 0;
	let hedges = 0;
	for (let index = 0; index < requestCount; index++) {
		const nowMs = index * 1000 / requestsPerSecond;
		window.recordRequest(nowMs);
		if (random.next() < otherRetryShare) {
			window.tryAcquire(slackShare, nowMs);
		}

		const firstMs = drawAnswerMs();
		const hedgeAfterMs = delayOf(nowMs, window.usedShare(slackShare, nowMs));
		const isHedged = firstMs > hedgeAfterMs && hedgeAfterMs < deadlineMs && window.tryAcquire(slackShare, nowMs);
		hedges += Number(isHedged);
		inTime += Number(Math.min(firstMs, isHedged ? hedgeAfterMs + drawAnswerMs() : Number.POSITIVE_INFINITY) <= objectiveMs);
	}

	return {inTimeShare: inTime / requestCount, hedgeShare: hedges / requestCount};
};

const early = (nowMs: number, usedBudgetShare: number): number => hedgeDelayMs({
	nowMs, serviceMs, objectiveAtMs: nowMs + objectiveMs, usedBudgetShare,
});

const meanOf = (load: Load, delayOf: typeof early): Result => {
	const results = seeds.map(seed => replay(seed, load, delayOf));
	const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
	return {inTimeShare: mean(results.map(({inTimeShare}) => inTimeShare)), hedgeShare: mean(results.map(({hedgeShare}) => hedgeShare))};
};

describe('hedges under a replayed load', () => {
	it('answer more held requests within the objective than hedges after three mean service times', () => {
		const load: Load = {heldShare: 0.08, otherRetryShare: 0};
		expect(meanOf(load, early).inTimeShare).to.be.above(meanOf(load, () => lateDelayMs).inTimeShare + 0.02);
	});

	it('stay within the retry budget where no request is held', () => {
		expect(meanOf({heldShare: 0, otherRetryShare: 0}, early).hedgeShare).to.be.below(limits.ratio / 2);
	});

	it('leave the second half of the retry budget to requests that failed', () => {
		const load: Load = {heldShare: 0.05, otherRetryShare: 0.2};
		const {hedgeShare} = meanOf(load, early);
		expect(hedgeShare).to.be.at.most(meanOf(load, () => lateDelayMs).hedgeShare + 0.02);
	});
});
