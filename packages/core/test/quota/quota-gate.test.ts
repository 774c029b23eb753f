import {expect} from 'chai';
import {
	createQuotaGate, createRandom, type QuotaDecision, type QuotaFleet, type QuotaGate, type QuotaRow,
} from '@egretwing/core';
import {quotaLimits} from './fleet-model.ts';

const maxReportBytes = 900;
const alone: QuotaFleet = {
	placedPeerIds: [], isPlaced: true, unknownPeers: 0, reachShare: 1,
};
const oneOfThree: QuotaFleet = {...alone, placedPeerIds: ['g-2', 'g-3']};

/** Long after the start. */
const beginMs = 100_000;

/** 100 requests in a window; 145 may be admitted at most. */
const quota = {ratePerSecond: 10, burst: 50};

const createGate = (fleet: QuotaFleet, startedAtMs = 0): QuotaGate => {
	const gate = createQuotaGate({limits: quotaLimits, random: createRandom(1), startedAtMs});
	gate.setFleet(fleet, startedAtMs);
	gate.setQuotas(new Map([['w', quota]]));
	return gate;
};

const admitMany = (gate: QuotaGate, count: number, nowMs: number): number => {
	let admitted = 0;
	for (let index = 0; index < count; index++) {
		admitted += Number(gate.admit('w', nowMs).type === 'admitted');
	}

	return admitted;
};

const rowOf = (count: number, recentCount = 0, isAsking = true): QuotaRow => ['w', count, recentCount, isAsking, 0, 0];

const hear = (gate: QuotaGate, peerId: string, row: QuotaRow, nowMs: number): void => {
	gate.receive(peerId, {
		upMs: quotaLimits.windowMs, memoryMs: quotaLimits.windowMs, rows: [row], strayIds: [],
	}, nowMs);
};

describe('quota of a workspace at one gateway', () => {
	const cases: ReadonlyArray<readonly [title: string, fleet: QuotaFleet, heard: ReadonlyArray<readonly [peerId: string, row: QuotaRow]>, admitted: readonly [atLeast: number, atMost: number]]> = [
		['is admitted whole, and the ceiling is kept, by a gateway that is alone', alone, [], [100, 145]],
		['is admitted in the static share while no peer is heard', oneOfThree, [], [33, 48]],
		['is admitted whole when the peers report that they admit nothing', oneOfThree, [['g-2', rowOf(0)], ['g-3', rowOf(0)]], [100, 145]],
		['is admitted but for the static share of a peer that is not heard', oneOfThree, [['g-2', rowOf(0)]], [66, 97]],
		['is admitted but for what peers report', oneOfThree, [['g-2', rowOf(40)], ['g-3', rowOf(30)]], [30, 75]],
		['is not admitted when a peer reports that it is used up', oneOfThree, [['g-2', rowOf(120)], ['g-3', rowOf(0)]], [0, 0]],
		['is admitted in the share of the gateways that can be reached', {...alone, reachShare: 0.4}, [], [40, 58]],
		['is admitted in a small part by a gateway that callers are not sent to', {...oneOfThree, isPlaced: false, placedPeerIds: ['g-2', 'g-3']}, [], [1, 20]],
		['is admitted in the static share while a gateway that has just started does not know its peers', {...alone, unknownPeers: 4}, [], [20, 29]],
	];
	for (const [title, fleet, heard, [atLeast, atMost]] of cases) {
		it(title, () => {
			const gate = createGate(fleet);
			for (const [peerId, row] of heard) {
				hear(gate, peerId, row, beginMs);
			}

			expect(admitMany(gate, 500, beginMs)).to.be.within(atLeast, atMost);
		});
	}

	it('is free again when the requests have left the window', () => {
		const gate = createGate(alone);
		const first = admitMany(gate, 500, beginMs);
		expect(admitMany(gate, 500, beginMs + quotaLimits.windowMs - 1)).to.equal(0);
		expect(admitMany(gate, 500, beginMs + (quotaLimits.windowMs * 1.05))).to.equal(first);
	});

	it('is free again where a request that was admitted reached no instance', () => {
		const gate = createGate(alone);
		admitMany(gate, 500, beginMs);
		gate.giveBack('w', beginMs, beginMs + 300);
		expect(admitMany(gate, 500, beginMs + 300)).to.equal(1);
	});

	it('is not given back twice by a request that has left the window', () => {
		const gate = createGate(alone);
		admitMany(gate, 1, beginMs);
		const laterMs = beginMs + (quotaLimits.windowMs * 2);
		const admitted = admitMany(gate, 500, laterMs);
		gate.giveBack('w', beginMs, laterMs);
		expect(admitMany(gate, 500, laterMs)).to.equal(0);
		expect(admitted).to.be.within(100, 145);
	});

	it('counts what was admitted against a lower limit at once', () => {
		const gate = createGate(alone);
		admitMany(gate, 60, beginMs);
		gate.setQuotas(new Map([['w', {ratePerSecond: 5, burst: 0}]]));
		expect(admitMany(gate, 500, beginMs + 100)).to.equal(0);
	});

	it('does not limit a workspace that has none, or has none any more', () => {
		const gate = createGate(alone);
		gate.setQuotas(new Map());
		expect(admitMany(gate, 1000, beginMs)).to.equal(1000);
	});

	it('is admitted in a small part by a gateway that has just started and hears nothing', () => {
		const gate = createGate(oneOfThree, beginMs);
		expect(admitMany(gate, 500, beginMs)).to.be.within(1, 14);
		expect(admitMany(gate, 500, beginMs + 2500)).to.be.within(10, 33);
	});

	it('is admitted but for what an earlier run of a peer admitted', () => {
		const gate = createGate({...alone, placedPeerIds: ['g-2']});
		hear(gate, 'g-2', rowOf(100), beginMs);
		gate.receive('g-2', {
			upMs: 200, memoryMs: 200, rows: [rowOf(0)], strayIds: [],
		}, beginMs + 1000);
		expect(admitMany(gate, 500, beginMs + 1000)).to.be.within(10, 55);
	});

	it('is admitted but for what an earlier run of the own gateway admitted, as a peer remembers', () => {
		const gate = createGate({...alone, placedPeerIds: ['g-2']}, beginMs - 500);
		hear(gate, 'g-2', ['w', 0, 0, true, 100, 4500], beginMs);
		expect(admitMany(gate, 500, beginMs)).to.be.within(1, 45);
	});

	const refusedBy = (gate: QuotaGate, nowMs: number): Extract<QuotaDecision, {type: 'refused'}> => {
		const decision = gate.admit('w', nowMs);
		expect(decision.type).to.equal('refused');
		return decision as Extract<QuotaDecision, {type: 'refused'}>;
	};

	for (const spreadMs of [0, 1000, 4000]) {
		it(`has room after the time that a refused caller is told, where the use arose within ${spreadMs} ms`, () => {
			const gate = createGate(alone);
			for (let timeMs = 0; timeMs <= spreadMs; timeMs += 100) {
				admitMany(gate, spreadMs === 0 ? 500 : 100, beginMs + timeMs);
			}

			const {roomAfterMs, use} = refusedBy(gate, beginMs + spreadMs);
			expect(use.limit).to.equal(100);
			expect(use.own).to.be.at.least(100);
			expect(roomAfterMs).to.be.within(50, quotaLimits.windowMs * 1.6);
			expect(admitMany(gate, 1, beginMs + spreadMs + roomAfterMs)).to.equal(1);
		});
	}
});

describe('report on quotas', () => {
	it('is not made while little of the static share is used', () => {
		const gate = createGate(oneOfThree);
		admitMany(gate, 20, beginMs);
		expect(gate.isUrgent(beginMs)).to.equal(false);
		expect(gate.takeReport(maxReportBytes, beginMs)).to.equal(undefined);
	});

	it('is made at once when most of the static share is used, then at intervals, and ends after the use', () => {
		const gate = createGate(oneOfThree);
		admitMany(gate, 40, beginMs);
		expect(gate.isUrgent(beginMs)).to.equal(true);
		const {to, report} = gate.takeReport(maxReportBytes, beginMs)!;
		expect(to).to.deep.equal(['g-2', 'g-3']);
		expect(report.rows.map(([workspace, count, , isAsking]) => [workspace, count, isAsking])).to.deep.equal([['w', 37, true]]);
		expect(gate.isUrgent(beginMs + 50)).to.equal(false);
		expect(gate.takeReport(maxReportBytes, beginMs + 50)).to.equal(undefined);
		expect(gate.takeReport(maxReportBytes, beginMs + 100)?.report.rows).to.have.length(1);
		const laterMs = beginMs + (quotaLimits.windowMs * 1.1);
		expect(gate.takeReport(maxReportBytes, laterMs)).to.equal(undefined);
	});

	it('answers a peer that asks, also without own use, and one that callers are not sent to', () => {
		const gate = createGate(oneOfThree);
		hear(gate, 'g-9', rowOf(40), beginMs);
		expect(gate.isUrgent(beginMs)).to.equal(true);
		const {to, report} = gate.takeReport(maxReportBytes, beginMs)!;
		expect(to).to.deep.equal(['g-2', 'g-3', 'g-9']);
		expect(report.strayIds).to.deep.equal(['g-9']);
		expect(report.rows).to.deep.equal([['w', 0, 0, false, 0, 0]]);
	});

	it('is not prolonged by peers that only answer', () => {
		const gate = createGate(oneOfThree);
		hear(gate, 'g-2', rowOf(0, 0, false), beginMs);
		expect(gate.takeReport(maxReportBytes, beginMs)).to.equal(undefined);
	});

	it('ignores workspaces without a quota', () => {
		const gate = createGate(oneOfThree);
		gate.receive('g-2', {
			upMs: 5000, memoryMs: 5000, rows: [['other', 5, 0, true, 0, 0]], strayIds: [],
		}, beginMs);
		expect(gate.takeReport(maxReportBytes, beginMs)).to.equal(undefined);
	});

	it('fits its size however many workspaces are near their limits, and names all of them in turn', () => {
		const gate = createGate(oneOfThree);
		const names = Array.from({length: 100}, (_, index) => `workspace-${index}`);
		gate.setQuotas(new Map(names.map(name => [name, quota])));
		for (const name of names) {
			for (let index = 0; index < 30; index++) {
				gate.admit(name, beginMs);
			}
		}

		const told = new Set<string>();
		for (let timeMs = beginMs; timeMs < beginMs + 1000; timeMs += 100) {
			const rows = gate.takeReport(maxReportBytes, timeMs)?.report.rows ?? [];
			expect(JSON.stringify(rows).length).to.be.below(maxReportBytes * 1.2);
			for (const [workspace] of rows) {
				told.add(workspace);
			}
		}

		expect(told.size).to.equal(names.length);
	});
});
