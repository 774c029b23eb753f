import {expect} from 'chai';
import {runExperiment, type Experiment} from './fake-service.ts';

const targetGoodput = 0.9;
const retryBudgetShare = 0.1;
const retriesBeforeDeposits = 3;

const overload: Experiment = {
	seed: 4, mode: 'egretwing', entries: 6, instances: 10, slots: 4, serviceMs: 20, deadlineMs: 1000, durationMs: 10_000, warmUpMs: 2000,
	loadFactor: 3, excess: 'queue', retryBudgetShare,
};

type Case = {readonly title: string; readonly change: Partial<Experiment>};

const cases: readonly Case[] = [
	{title: 'with instances that queue the excess', change: {}},
	{title: 'with instances that shed the excess', change: {excess: 'shed'}},
	{title: 'with requests that may run on any instance', change: {placement: {type: 'anywhere'}}},
	{title: 'with all load at one of six entries', change: {firstEntryShare: 1}},
	{title: 'with 44 entries for 40 slots', change: {entries: 44}},
	{title: 'with 12 slots in six instances', change: {instances: 6, slots: 2}},
];

describe('admission at three times the capacity', function () {
	this.timeout(60_000);

	for (const {title, change} of cases) {
		it(`keeps goodput at ${targetGoodput} of capacity or more ${title}`, () => {
			const result = runExperiment({...overload, ...change});
			expect(result.goodput).to.be.at.least(targetGoodput);
		});
	}

	it('is necessary, since goodput collapses with naive clients that keep instances busy with expired requests', () => {
		const result = runExperiment({...overload, mode: 'naive'});
		expect(result.goodput).to.be.below(targetGoodput);
	});

	for (const failureShare of [0.05, 0.3, 1]) {
		it(`keeps retries within the budget when ${failureShare} of the attempts fail`, () => {
			const result = runExperiment({...overload, failureShare, loadFactor: 0.8});
			expect(result.retries).to.be.at.most((result.offered * retryBudgetShare) + (retriesBeforeDeposits * overload.entries));
			expect(result.retries).to.be.above(0);
		});
	}

	it('is necessary, since naive clients exceed the retry budget', () => {
		const result = runExperiment({
			...overload, mode: 'naive', failureShare: 0.3, loadFactor: 0.8,
		});
		expect(result.retries).to.be.above((result.offered * retryBudgetShare) + (retriesBeforeDeposits * overload.entries));
	});

	it('answers the requests of small workspaces while one sends nine tenths of the load', () => {
		const result = runExperiment({...overload, workspaces: 10, largestWorkspaceShare: 0.9});
		for (const [workspace, offered] of result.offeredByWorkspace) {
			if (workspace !== 'large') {
				expect((result.answeredByWorkspace.get(workspace) ?? 0) / offered, workspace).to.be.at.least(targetGoodput);
			}
		}
	});

	it('holds state only for requests in flight and waiting, with 500,000 workspaces', () => {
		const result = runExperiment({...overload, workspaces: 500_000});
		expect(result.maxWorkspaceState).to.be.at.most(64 + (overload.instances * overload.slots));
	});
});
