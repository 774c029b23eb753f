import {
	createHedgePolicy, createRandom, type HedgePolicy, type HedgeRoom, type Random,
} from '@egretwing/core';
import {expect} from 'chai';

const windowMs = 10_000;
const limits = {maxExtraShare: 0.05, windowMs};
const ampleRoom: HedgeRoom = {usableSlots: 12, inFlight: 4, waiting: 0};

/** Feeds a policy with `count` requests over half of the window and answers of 1 to `count` milliseconds. */
const createFedPolicy = (count: number): HedgePolicy => {
	const policy = createHedgePolicy(limits);
	for (let index = 1; index <= count; index++) {
		const nowMs = index * windowMs / 2 / count;
		policy.recordRequest(nowMs);
		policy.recordLatency(index, nowMs);
	}

	return policy;
};

const fedUntilMs = windowMs / 2;

describe('hedges of the slowest answers', () => {
	const thresholds: ReadonlyArray<readonly [title: string, answers: number, atMs: number, expectedMs: number | undefined]> = [
		['without answers', 0, fedUntilMs, undefined],
		['with few answers', 99, fedUntilMs, undefined],
		['with a hundred answers', 100, fedUntilMs, 95],
		['with many answers', 1000, fedUntilMs, 950],
		['long after the last answer', 1000, 4 * windowMs, undefined],
	];
	for (const [title, answers, atMs, expectedMs] of thresholds) {
		it(`are sent after the latency that all but the limit's share stay below, ${title}`, () => {
			const latencyMs = createFedPolicy(answers).threshold(atMs)?.latencyMs;
			if (expectedMs === undefined) {
				expect(latencyMs).to.equal(undefined);
			} else {
				expect(latencyMs).to.be.within(expectedMs * 0.99, expectedMs * 1.01);
			}
		});
	}

	const rooms: ReadonlyArray<readonly [title: string, room: HedgeRoom, expected: string]> = [
		['slots are free', ampleRoom, 'start'],
		['a request waits for a slot', {...ampleRoom, waiting: 1}, 'no-room'],
		['two thirds of the slots are in use', {...ampleRoom, inFlight: 8}, 'no-room'],
		['there is no slot at all', {usableSlots: 0, inFlight: 0, waiting: 0}, 'no-room'],
	];
	for (const [title, room, expected] of rooms) {
		it(`decide ${expected} where ${title}`, () => {
			expect(createFedPolicy(1000).tryStart(room, fedUntilMs)).to.equal(expected);
		});
	}

	it('stop at the share of the requests in the window, and go on in the next', () => {
		const policy = createFedPolicy(1000);
		const verdicts = Array.from({length: 60}, () => policy.tryStart(ampleRoom, fedUntilMs));
		expect(verdicts.filter(verdict => verdict === 'start').length).to.equal(50);
		expect(verdicts.at(-1)).to.equal('limit-spent');
		for (let index = 0; index < 100; index++) {
			policy.recordRequest(2.5 * windowMs);
		}

		expect(policy.tryStart(ampleRoom, 2.5 * windowMs)).to.equal('start');
	});

	it('take nothing from the limit where there is no room', () => {
		const policy = createFedPolicy(20);
		policy.tryStart({...ampleRoom, waiting: 1}, fedUntilMs);
		expect(policy.tryStart(ampleRoom, fedUntilMs)).to.equal('start');
	});
});

/** A fleet whose gateways decide by themselves: most answers take some 300 ms, those of slow instances five times as long. */
const replay = (random: Random, {gateways, slowShare}: {readonly gateways: number; readonly slowShare: number}) => {
	const policies = Array.from({length: gateways}, () => createHedgePolicy(limits));
	const drawMs = (): number => (200 + (200 * random.next())) * (random.next() < slowShare ? 5 : 1);
	const requestCount = 20_000;
	const answersMs: number[] = [];
	const plainMs: number[] = [];
	let hedges = 0;
	for (let index = 0; index < requestCount; index++) {
		const nowMs = index * 5;
		const policy = policies[index % gateways]!;
		policy.recordRequest(nowMs);
		const firstMs = drawMs();
		const thresholdMs = policy.threshold(nowMs)?.latencyMs;
		const isHedged = thresholdMs !== undefined && firstMs > thresholdMs && policy.tryStart(ampleRoom, nowMs) === 'start';
		const answerMs = isHedged ? Math.min(firstMs, thresholdMs + drawMs()) : firstMs;
		hedges += Number(isHedged);
		policy.recordLatency(answerMs, nowMs);
		plainMs.push(firstMs);
		answersMs.push(answerMs);
	}

	const p99 = (values: readonly number[]): number => values.toSorted((left, right) => left - right)[Math.floor(values.length * 0.99)]!;
	return {extraShare: hedges / requestCount, p99Ms: p99(answersMs), plainP99Ms: p99(plainMs)};
};

describe('hedges of a fleet', () => {
	const seeds = [1, 2, 3];
	for (const seed of seeds) {
		it(`cut the slowest hundredth of the answers while a few instances are slow, seed ${seed}`, () => {
			const {extraShare, p99Ms, plainP99Ms} = replay(createRandom(seed), {gateways: 6, slowShare: 0.03});
			expect(extraShare).to.be.at.most(limits.maxExtraShare);
			expect(p99Ms).to.be.below(plainP99Ms * 0.75);
		});

		it(`stay within the limit, over all gateways, while most instances are slow, seed ${seed}`, () => {
			expect(replay(createRandom(seed), {gateways: 6, slowShare: 0.6}).extraShare).to.be.at.most(limits.maxExtraShare);
		});
	}
});
