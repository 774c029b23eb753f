/** Replays hundreds of instances, many of them in an episode in which they break most requests, at gateways of five data centres. */

import {expect} from 'chai';
import type {FleetLoad} from './support/fleet-load.ts';
import {replayFleet} from './support/fleet-model.ts';
import {floorShare, reachedShare, worstOf} from './support/floor-windows.ts';

/** Share of unserved requests from which work is spread; above it, the trials of the spread would keep it going. */
const spreadUnservedShare = 0.07;

const replayTimeoutMs = 120_000;
const dataCentres = ['a', 'b', 'c', 'd', 'e'];

const load: Omit<FleetLoad, 'seed'> = {
	lengthMs: 14_000,
	gateways: Object.fromEntries(dataCentres.map(dataCentre => [dataCentre, 3])),
	instances: Object.fromEntries(dataCentres.map(dataCentre => [dataCentre, 49])),
	slots: 4,
	perSecond: 617,
	serviceMs: 510,
	serviceSpread: 0.8,
	objectiveMs: 2517,
	timeoutMs: 6040,
	errorShare: 0.012,
	episodes: {
		instanceShare: 0.6, periodMs: 18_000, lengthMs: 8500, failingShare: 0.85, isDrawnAnew: true,
	},
	faults: [],
};

describe('dispatch to hundreds of instances', () => {
	for (const seed of [1, 2]) {
		it(`loses no more requests by early trials than the share from which work is spread, load ${seed}`, async () => {
			const {asked, unserved, windows} = await replayFleet({...load, seed});
			const worst = worstOf(windows);
			expect(unserved / asked).to.be.at.most(spreadUnservedShare);
			expect(worst === undefined ? 1 : reachedShare(worst)).to.be.at.least(floorShare);
		}).timeout(replayTimeoutMs);
	}
});
