import {createDispatcher, createRandom, type DispatchRequest} from '@egretwing/core';
import {expect} from 'chai';
import {createFairStart} from '../../src/dispatch/fair-start.ts';
import {createUsualShares} from '../../src/dispatch/usual-share.ts';
import {createInstances} from './load-model.ts';

/** Starts `count` requests of workspaces that always have some waiting; returns the number started for each. */
const startFromBacklog = (shares: Readonly<Record<string, number>>, count: number): Readonly<Record<string, number>> => {
	const fairStart = createFairStart({shareOf: workspace => shares[workspace]!});
	const started = Object.fromEntries(Object.keys(shares).map(workspace => [workspace, 0]));
	for (let index = 0; index < count; index++) {
		const [next] = Object.keys(shares).toSorted((left, right) => fairStart.startOf(left, 0) - fairStart.startOf(right, 0));
		fairStart.recordStart(next!);
		started[next!]!++;
	}

	return started;
};

describe('start-time fair queueing', () => {
	const cases: ReadonlyArray<readonly [title: string, shares: Readonly<Record<string, number>>, count: number, started: Readonly<Record<string, number>>]> = [
		['evenly with equal shares', {a: 0.5, b: 0.5}, 10, {a: 5, b: 5}],
		['in proportion to unequal shares', {a: 0.75, b: 0.25}, 40, {a: 30, b: 10}],
		['all to the only one that waits', {a: 0.1}, 7, {a: 7}],
	];
	for (const [title, shares, count, started] of cases) {
		it(`gives starts ${title}`, () => {
			expect(startFromBacklog(shares, count)).to.deep.equal(started);
		});
	}

	it('lets a workspace that has sent nothing for long go next, without making up for that time', () => {
		const fairStart = createFairStart({shareOf: () => 0.5});
		for (let index = 0; index < 20; index++) {
			fairStart.recordStart('busy');
		}

		expect(fairStart.startOf('idle', 0)).to.be.below(fairStart.startOf('busy', 0));
		fairStart.recordStart('idle');
		expect(fairStart.startOf('idle', 0)).to.equal(fairStart.startOf('busy', 0));
	});
});

describe('usual shares of workspaces', () => {
	/** Records requests of both workspaces, second by second. */
	const recordBoth = (shares: ReturnType<typeof createUsualShares>, hotPerSecond: number, fromMs: number, untilMs: number): void => {
		for (let nowMs = fromMs; nowMs < untilMs; nowMs += 1000) {
			for (const [workspace, perSecond] of [['hot', hotPerSecond], ['other', 10]] as const) {
				for (let request = 0; request < perSecond; request++) {
					shares.record(workspace, nowMs);
				}
			}
		}
	};

	it('are those of all requests until there are enough older ones', () => {
		const shares = createUsualShares();
		recordBoth(shares, 30, 0, 4000);
		expect(shares.shareOf('hot')).to.be.closeTo(0.75, 0.01);
	});

	it('stay the same while a workspace sends many times its usual for 6.5 s', () => {
		const shares = createUsualShares();
		recordBoth(shares, 10, 0, 30_000);
		recordBoth(shares, 75, 30_000, 37_000);
		expect(shares.shareOf('hot')).to.be.closeTo(0.5, 0.01);
	});

	it('are at least a third of what a workspace has asked for in the last seconds', () => {
		const shares = createUsualShares();
		recordBoth(shares, 1, 0, 30_000);
		recordBoth(shares, 90, 30_000, 40_000);
		expect(shares.shareOf('hot')).to.be.closeTo(0.3, 0.01);
	});

	it('follow a load that stays', () => {
		const shares = createUsualShares();
		recordBoth(shares, 10, 0, 30_000);
		recordBoth(shares, 30, 30_000, 120_000);
		expect(shares.shareOf('hot')).to.be.closeTo(0.75, 0.01);
	});

	it('are half of an even share for a workspace without requests', () => {
		const shares = createUsualShares();
		recordBoth(shares, 30, 0, 20_000);
		expect(shares.shareOf('new')).to.equal(0.25);
	});
});

describe('a request that looks for a free slot without waiting', () => {
	it('displaces no waiting request where it finds none', () => {
		const dispatcher = createDispatcher<DispatchRequest>('a', createRandom(1));
		dispatcher.setInstances(createInstances(1, 1));
		const request = (workspace: string, changes: Partial<DispatchRequest> = {}): DispatchRequest => ({
			requestId: 'r', rank: 1, workspace, isIdempotent: true, isReturning: false, bodyBytes: 0, objectiveAtMs: 1800, finalAtMs: 2200, attemptedIds: [], ...changes,
		});
		dispatcher.submit(request('first'), 1000);
		dispatcher.submit(request('second'), 1000);
		expect(dispatcher.placeNow(request('first', {isReturning: true, attemptedIds: ['other']}), 1001)).to.equal(undefined);
		expect(dispatcher.state(1002).contention).to.include({waiting: 1, displaced: 0});
		expect(dispatcher.poll(1700).filter(({decision}) => decision.type === 'reject')).to.deep.equal([]);
		expect(dispatcher.state(1701).contention).to.include({displaced: 0});
	});
});
