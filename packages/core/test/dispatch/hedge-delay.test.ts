import {expect} from 'chai';
import {createRetryWindow, hedgeDelayMs} from '@egretwing/core';

describe('hedgeDelayMs', () => {
	const delays: ReadonlyArray<readonly [title: string, serviceMs: number, objectiveAtMs: number, usedBudgetShare: number, delayMs: number]> = [
		['leaves time for a second answer within the objective', 200, 1600, 0, 400],
		['waits for three mean service times at most', 100, 2600, 0, 300],
		['waits for one and a half mean service times at least', 200, 1350, 0, 300],
		['does not hurry for an objective that has passed', 200, 900, 0, 300],
		['waits for three mean service times while many attempts are repeated', 200, 1600, 0.6, 600],
	];
	for (const [title, serviceMs, objectiveAtMs, usedBudgetShare, delayMs] of delays) {
		it(title, () => {
			expect(hedgeDelayMs({
				nowMs: 1000, serviceMs, objectiveAtMs, usedBudgetShare,
			})).to.equal(delayMs);
		});
	}
});

describe('the used share of the retry budget', () => {
	const shares: ReadonlyArray<readonly [title: string, requests: number, retries: number, slackShare: number, share: number]> = [
		['is 1 without a budget', 0, 0, 0, 1],
		['is 0 before the first retry', 10, 0, 0, 0],
		['counts requests and slack', 10, 3, 0.5, 0.6],
		['is 1 when the budget is spent', 10, 5, 0, 1],
	];
	for (const [title, requests, retries, slackShare, share] of shares) {
		it(title, () => {
			const window = createRetryWindow({ratio: 0.2, slack: 6, windowMs: 10_000});
			for (let count = 0; count < requests; count++) {
				window.recordRequest(100);
			}

			for (let count = 0; count < retries; count++) {
				window.tryAcquire(slackShare, 200);
			}

			expect(window.usedShare(slackShare, 300)).to.equal(share);
		});
	}

	it('falls when retries leave the window', () => {
		const window = createRetryWindow({ratio: 0.2, slack: 2, windowMs: 10_000});
		window.tryAcquire(1, 0);
		expect(window.usedShare(1, 5000)).to.equal(0.5);
		expect(window.usedShare(1, 11_000)).to.equal(0);
	});
});
