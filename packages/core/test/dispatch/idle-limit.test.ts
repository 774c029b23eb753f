import {expect} from 'chai';
import {createIdleLimit} from '@egretwing/core';

describe('limit of the idle time of connections', () => {
	const cases: ReadonlyArray<readonly [title: string, resets: ReadonlyArray<readonly [atMs: number, idleMs: number]>, nowMs: number, limitMs: number | undefined]> = [
		['is none without a reset', [], 1000, undefined],
		['is none after one reset', [[1000, 400]], 1100, undefined],
		['is half of the shortest idle time before a reset after two resets in a row', [[1000, 400], [1500, 700]], 1600, 200],
		['is none after two resets far apart', [[1000, 400], [4000, 400]], 4100, undefined],
		['is none after resets of busy connections', [[1000, 20], [1100, 30]], 1200, undefined],
		['expires some time after the last reset', [[1000, 400], [1500, 700]], 9600, undefined],
		['depends on recent resets only', [[1000, 200], [1100, 200], [8500, 600], [8900, 800]], 9500, 300],
	];
	for (const [title, resets, nowMs, expected] of cases) {
		it(title, () => {
			const limit = createIdleLimit();
			for (const [atMs, idleMs] of resets) {
				limit.recordReset(idleMs, atMs);
			}

			expect(limit.limitMs(nowMs)).to.equal(expected);
		});
	}
});
