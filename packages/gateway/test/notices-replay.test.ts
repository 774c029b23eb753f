/** Replays instances that ask for pauses and that say in their answers that they leave, at several gateways. */

import {expect} from 'chai';
import type {FleetLoad, Fault} from './support/fleet-load.ts';
import {replayFleet} from './support/fleet-model.ts';
import {floorShare, reachedShare, worstOf} from './support/floor-windows.ts';

const replayTimeoutMs = 60_000;
const lengthMs = 12_000;

const base: Omit<FleetLoad, 'seed' | 'faults'> = {
	lengthMs,
	gateways: {a: 1, b: 1, c: 1},
	instances: {a: 7, b: 6, c: 6},
	slots: 4,
	queueLength: 2,
	perSecond: 76,
	serviceMs: 320,
	serviceSpread: 0.8,
	objectiveMs: 1500,
	timeoutMs: 3000,
	errorShare: 0.012,
	episodes: {
		instanceShare: 0.3, periodMs: 18_000, lengthMs: 4000, failingShare: 0.85,
	},
	notices: {pauseMs: 2000, unregisteredShare: 1},
};

const shedding: Fault = {
	type: 'failing', mode: 'shed', fromMs: 3000, untilMs: 7000, instanceShare: 0.3, requestShare: 0.6,
};
const leaving: Fault = {
	type: 'leaving', fromMs: 4000, untilMs: Number.POSITIVE_INFINITY, instanceShare: 0.3, servesMs: 5000,
};

const loads: ReadonlyArray<{readonly title: string; readonly changes: Partial<FleetLoad>; readonly faults: readonly Fault[]}> = [
	{title: 'three in ten reject most requests and ask for pauses', changes: {}, faults: [shedding]},
	{title: 'three in ten leave, and only their answers say so', changes: {}, faults: [leaving]},
	{title: 'instances leave while others ask for pauses, in a burst', changes: {burst: {fromMs: 3500, untilMs: 6500, factor: 1.6}}, faults: [shedding, leaving]},
	{
		title: 'all are full in a burst and ask for pauses, and rejected callers come back at once',
		changes: {
			burst: {fromMs: 3000, untilMs: 6000, factor: 4}, repeating: {
				fromMs: 3000, untilMs: 8000, requestShare: 0.3, times: 3,
			},
		},
		faults: [{
			type: 'slow', fromMs: 3000, untilMs: 6000, instanceShare: 0.5, factor: 3,
		}],
	},
];

describe('dispatch to instances that say something of themselves', () => {
	for (const {title, changes, faults} of loads) {
		for (const seed of [1, 2, 3]) {
			it(`heeds each of them and reaches seven in ten sound ones while ${title}, load ${seed}`, async () => {
				const {windows, ignoredNotices} = await replayFleet({
					...base, ...changes, faults, seed,
				});
				expect(ignoredNotices).to.deep.equal([]);
				const worst = worstOf(windows);
				expect(worst === undefined ? 1 : reachedShare(worst), JSON.stringify(worst)).to.be.at.least(floorShare);
			}).timeout(replayTimeoutMs);
		}
	}
});
