import {expect} from 'chai';
import {createServiceHealth, type ServiceHealth} from '../src/health/service-health.ts';
import {ejectionOrder} from '../src/health/floor.ts';
import {stallAgeMs} from '../src/health/stalls.ts';
import type {Observation} from '../src/health/types.ts';
import {modelInstances} from './support/health-model.ts';

const rules = {floorShare: 0.5, falseEjectionsPerInstanceDay: 1, stallThresholdMs: 1000};
const instanceCount = 6;
const ids = modelInstances(instanceCount).map(({hostId}) => hostId);
const succeeded: Observation = {kind: 'succeeded', latencyMs: 20};

const createEntry = (entryId: string): ServiceHealth => {
	const health = createServiceHealth({
		service: 'svc', entryId, incarnation: 1, rules,
	}, 0);
	health.setInstances(modelInstances(instanceCount), 1, 0);
	return health;
};

/** Advances the entries in steps of 100 ms: `drive` sends the requests of each entry, then reports are exchanged. */
const run = (
	entries: readonly ServiceHealth[],
	{fromMs, untilMs}: {readonly fromMs: number; readonly untilMs: number},
	drive: (entry: ServiceHealth, index: number, nowMs: number) => void,
): void => {
	for (let nowMs = fromMs; nowMs < untilMs; nowMs += 100) {
		for (const [index, entry] of entries.entries()) {
			drive(entry, index, nowMs);
			entry.tick(nowMs);
		}

		for (const entry of entries.filter(some => some.isReportDue(nowMs))) {
			const report = entry.report(nowMs);
			for (const other of entries) {
				other.receive(report, nowMs);
			}
		}
	}
};

const standingKinds = (health: ServiceHealth): readonly string[] => ids.map(id => health.standing(id)!.kind);

/** One request to each instance that is in use; `answer` gives its outcome. */
const requestAll = (answer: (instance: number, nowMs: number) => Observation) => (entry: ServiceHealth, _index: number, nowMs: number): void => {
	const trial = entry.nextTrial(nowMs);
	for (const [instance, id] of ids.entries()) {
		if (entry.standing(id)!.kind === 'use' || id === trial) {
			entry.begin(id, nowMs).finish(answer(instance, nowMs), nowMs);
		}
	}
};

const failed = (nowMs: number): Observation => ({kind: 'failed', startedAtMs: nowMs});
const healthyUntil = (untilMs: number, instance: number) => requestAll((index, nowMs) => index === instance && nowMs >= untilMs ? failed(nowMs) : succeeded);

describe('createServiceHealth', () => {
	it('ejects an instance on both entries if it fails for both', () => {
		const entries = [createEntry('a'), createEntry('b')];
		run(entries, {fromMs: 0, untilMs: 12_000}, healthyUntil(10_000, 2));
		expect(entries.map(entry => entry.standing('i2')!.kind)).to.deep.equal(['ejected', 'ejected']);
		expect(entries[0]!.explain('i2', 12_000)).to.include({floorCount: 3, listedCount: 6});
	});

	it('avoids an instance at the only entry that can not reach it; the other entry keeps using it', () => {
		const entries = [createEntry('a'), createEntry('b')];
		run(entries, {fromMs: 0, untilMs: 14_000}, (entry, index, nowMs) => {
			requestAll(instance => index === 0 && instance === 2 && nowMs >= 10_000 ? {kind: 'connect-failed', startedAtMs: nowMs} : succeeded)(entry, index, nowMs);
		});
		expect(entries.map(entry => entry.standing('i2')!.kind)).to.deep.equal(['avoided', 'use']);
	});

	it('does not eject an instance for all entries if only one entry uses it and sees it fail', () => {
		const entries = [createEntry('a'), createEntry('b')];
		run(entries, {fromMs: 0, untilMs: 14_000}, (entry, index, nowMs) => {
			for (const id of ids.filter(some => index === 0 || some !== 'i2')) {
				const isFailing = id === 'i2' && nowMs >= 10_000;
				entry.begin(id, nowMs).finish(isFailing ? failed(nowMs) : succeeded, nowMs);
			}
		});
		expect(entries.map(entry => entry.standing('i2')!.kind)).to.deep.equal(['avoided', 'use']);
	});

	it('ejects no instance when every instance fails', () => {
		const entries = [createEntry('a'), createEntry('b')];
		run(entries, {fromMs: 0, untilMs: 20_000}, requestAll((_, nowMs) => nowMs >= 10_000 ? failed(nowMs) : succeeded));
		expect(standingKinds(entries[0]!)).to.not.include.members(['ejected']);
		expect(standingKinds(entries[0]!)).to.not.include.members(['avoided']);
	});

	const stallCases = [
		{title: 'ejects the only instance that stalls', stalls: (instance: number) => instance === 1, expected: 1},
		{title: 'ejects no instance when the whole service slows down', stalls: () => true, expected: 0},
	];
	for (const {title, stalls, expected} of stallCases) {
		it(title, () => {
			const entries = [createEntry('a'), createEntry('b')];
			run(entries, {fromMs: 0, untilMs: 16_000}, (entry, _index, nowMs) => {
				for (const [instance, id] of ids.entries()) {
					const attempt = entry.begin(id, nowMs);
					if (nowMs < 10_000 || !stalls(instance)) {
						attempt.finish(succeeded, nowMs);
					}
				}
			});
			expect(standingKinds(entries[0]!).filter(kind => kind === 'ejected')).to.have.length(expected);
			expect(standingKinds(entries[1]!).filter(kind => kind === 'ejected' || kind === 'avoided')).to.have.length(expected);
		});
	}

	const ageCases = [
		{
			title: 'the setting if the service is fast', medianLatencyMs: 20, agesMs: [5000, 10, 0, 0], expected: 1000,
		},
		{
			title: 'five median latencies if the service is slow', medianLatencyMs: 900, agesMs: [5000, 10, 0, 0], expected: 4500,
		},
		{
			title: 'five median ages if most instances have old requests', medianLatencyMs: 20, agesMs: [5000, 2000, 2000, 0], expected: 10_000,
		},
	];
	for (const {title, medianLatencyMs, agesMs, expected} of ageCases) {
		it(`considers a request stalled above ${title}`, () => {
			expect(stallAgeMs(1000, medianLatencyMs, agesMs)).to.equal(expected);
		});
	}

	const heldCases = [
		{title: 'ejects an instance with three stalled requests that gets no further ones', heldCount: 3, expected: 'ejected'},
		{title: 'does not eject an instance for a single slow request', heldCount: 1, expected: 'use'},
	];
	for (const {title, heldCount, expected} of heldCases) {
		it(title, () => {
			const entry = createEntry('a');
			const held = Array.from({length: heldCount}, () => entry.begin('i1', 10_000));
			run([entry], {fromMs: 0, untilMs: 20_000}, (_entry, _index, nowMs) => {
				for (const id of ids.filter(some => some !== 'i1' || nowMs < 10_000)) {
					entry.begin(id, nowMs).finish(succeeded, nowMs);
				}

				for (const attempt of nowMs < 10_000 ? held : []) {
					attempt.progress(nowMs);
				}
			});
			expect(entry.standing('i1')!.kind).to.equal(expected);
		});
	}

	it('does not consider a long upload that makes progress stalled', () => {
		const entry = createEntry('a');
		const upload = entry.begin('i0', 0);
		run([entry], {fromMs: 0, untilMs: 60_000}, (_entry, _index, nowMs) => {
			upload.progress(nowMs);
		});
		expect(entry.explain('i0', 60_000)!.score).to.equal(0);
	});

	const endpointCases = [
		{
			title: 'ejects a failing instance even if its health endpoint reports healthy', probe: 'probe-succeeded', fails: true, expected: 'ejected',
		},
		{
			title: 'does not eject a working instance whose health endpoint reports unhealthy', probe: 'probe-failed', fails: false, expected: 'use',
		},
	] as const;
	for (const {title, probe, fails, expected} of endpointCases) {
		it(title, () => {
			const entries = [createEntry('a'), createEntry('b')];
			run(entries, {fromMs: 0, untilMs: 14_000}, (entry, index, nowMs) => {
				for (let probes = 0; probes < 10; probes++) {
					entry.observe('i2', {kind: probe}, nowMs);
				}

				requestAll((instance, atMs) => fails && instance === 2 && atMs >= 10_000 ? failed(atMs) : succeeded)(entry, index, nowMs);
			});
			expect(entries[0]!.standing('i2')!.kind).to.equal(expected);
		});
	}

	it('does not eject an idle instance whose health endpoint reports unhealthy', () => {
		const entry = createEntry('a');
		run([entry], {fromMs: 0, untilMs: 30_000}, (health, _index, nowMs) => {
			health.observe('i2', {kind: 'probe-failed'}, nowMs);
		});
		expect(entry.standing('i2')!.kind).to.equal('use');
	});

	it('returns an instance to use by trials and with a slow start, after a longer hold each time that it flaps', () => {
		const entries = [createEntry('a'), createEntry('b')];
		const outMs: number[] = [];
		let fromMs = 0;
		for (let cycle = 0; cycle < 3; cycle++) {
			run(entries, {fromMs, untilMs: fromMs + 12_000}, healthyUntil(fromMs + 10_000, 2));
			fromMs += 12_000;
			expect(entries[0]!.standing('i2')!.kind).to.equal('ejected');
			const ejectedAtMs = fromMs;
			while (entries[0]!.standing('i2')!.kind === 'ejected') {
				run(entries, {fromMs, untilMs: fromMs + 100}, requestAll(() => succeeded));
				fromMs += 100;
			}

			outMs.push(fromMs - ejectedAtMs);
			const standing = entries[0]!.standing('i2')!;
			expect(standing.kind === 'use' && standing.weight).to.be.below(0.5);
		}

		expect(outMs[1]).to.be.above(outMs[0]! * 1.5);
		expect(outMs[2]).to.be.above(outMs[1]! * 1.5);
	});

	const order = ejectionOrder('svc', ids);
	const claimCases = [
		{
			title: 'spares an instance if the floor allows one ejection and a peer claims an instance that is earlier in the order', claimed: order[0]!, failing: order[1]!, expected: 'spared',
		},
		{
			title: 'ejects an instance if the floor allows one ejection and a peer claims an instance that is later in the order', claimed: order[1]!, failing: order[0]!, expected: 'ejected',
		},
	];
	for (const {title, claimed, failing, expected} of claimCases) {
		it(title, () => {
			const entry = createEntry('a');
			entry.setRules({...rules, floorShare: 0.8});
			let round = 0;
			run([entry], {fromMs: 0, untilMs: 14_000}, (_entry, index, nowMs) => {
				requestAll(instance => ids[instance] === failing && nowMs >= 10_000 ? failed(nowMs) : succeeded)(entry, index, nowMs);
				const ownReport = entry.report(nowMs);
				round++;
				entry.receive({
					service: 'svc', entryId: 'b', incarnation: 1, round, heard: [{entryId: 'a', incarnation: 1, round: ownReport.round}], whole: true,
					instances: [{
						instanceId: claimed, succeeded: 0, failed: 0, spell: 0, spellEnded: true, claimed: true,
					}],
				}, nowMs);
			});
			expect(entry.standing(failing)!.kind).to.equal(expected);
		});
	}

	it('ejects an instance that fails from its first request', () => {
		const entries = [createEntry('a'), createEntry('b')];
		run(entries, {fromMs: 0, untilMs: 8000}, healthyUntil(0, 2));
		expect(standingKinds(entries[0]!)).to.deep.equal(['use', 'use', 'ejected', 'use', 'use', 'use']);
	});

	it('uses a new instance with a slow start', () => {
		const entry = createEntry('a');
		entry.setInstances(modelInstances(7), 2, 5000);
		expect(entry.standing('i6')).to.deep.equal({kind: 'use', weight: 0.1});
		expect(entry.standing('i0')).to.deep.equal({kind: 'use', weight: 1});
	});

	it('ignores failures that a pause of its own process can explain', () => {
		const entry = createEntry('a');
		run([entry], {fromMs: 0, untilMs: 10_000}, requestAll(() => succeeded));
		const attempts = Array.from({length: 20}, () => entry.begin('i2', 9900));
		entry.tick(40_000);
		for (const attempt of attempts) {
			attempt.finish(failed(9900), 40_000);
		}

		entry.tick(40_100);
		expect(entry.standing('i2')!.kind).to.equal('use');
	});

	it('ignores a report that a paused peer delivers late', () => {
		const [entry, peer] = [createEntry('a'), createEntry('b')];
		run([entry, peer], {fromMs: 0, untilMs: 10_000}, requestAll(() => succeeded));
		for (let index = 0; index < 20; index++) {
			peer.observe('i2', failed(10_000), 10_000);
		}

		const late = peer.report(10_000);
		run([entry], {fromMs: 10_000, untilMs: 20_000}, requestAll(() => succeeded));
		entry.receive(late, 20_000);
		expect(entry.explain('i2', 20_000)).to.deep.include({score: 0, standing: {kind: 'use', weight: 1}});
	});

	it('ignores proof of health that is too old, and ejects no instance without recent proof', () => {
		const entry = createEntry('a');
		run([entry], {fromMs: 0, untilMs: 12_000}, healthyUntil(10_000, 2));
		expect(entry.standing('i2')!.kind).to.equal('ejected');
		run([entry], {fromMs: 12_000, untilMs: 24_000}, () => undefined);
		expect(entry.standing('i2')!.kind).to.equal('spared');
	});

	describe('leaving instance', () => {
		const withState = (state: 'live' | 'leaving') => modelInstances(instanceCount).map(instance => instance.hostId === 'i2' ? {...instance, state} : instance);
		const signals: ReadonlyArray<{readonly title: string; readonly signal: (entry: ServiceHealth, peer: ServiceHealth) => void}> = [
			{
				title: 'the host list',
				signal(entry) {
					entry.setInstances(withState('leaving'), 2, 5000);
				},
			},
			{
				title: 'a draining answer',
				signal(entry) {
					entry.markLeaving('i2', 5000);
				},
			},
			{
				title: 'the report of a peer',
				signal(_entry, peer) {
					peer.markLeaving('i2', 5000);
				},
			},
		];
		for (const {title, signal} of signals) {
			it(`gets no new requests after ${title}, even under a stale host list`, () => {
				const [entry, peer] = [createEntry('a'), createEntry('b')];
				run([entry, peer], {fromMs: 0, untilMs: 5000}, requestAll(() => succeeded));
				signal(entry, peer);
				run([entry, peer], {fromMs: 5000, untilMs: 7000}, requestAll(() => succeeded));
				entry.setInstances(withState('live'), 1, 7000);
				run([entry, peer], {fromMs: 7000, untilMs: 9000}, requestAll(() => succeeded));
				expect([entry, peer].map(some => some.standing('i2')!.kind)).to.deep.equal(['leaving', 'leaving']);
			});
		}

		it('stays out of use when an older host list arrives late', () => {
			const entry = createEntry('a');
			entry.setInstances(withState('leaving'), 3, 1000);
			entry.setInstances(withState('live'), 2, 2000);
			expect(entry.standing('i2')!.kind).to.equal('leaving');
		});

		it('returns to use once the host list has said leaving and then live', () => {
			const entry = createEntry('a');
			entry.setInstances(withState('leaving'), 2, 1000);
			entry.setInstances(withState('live'), 3, 2000);
			expect(entry.standing('i2')!.kind).to.equal('use');
		});

		it('does not return to use under a stale host list that never said leaving', () => {
			const entry = createEntry('a');
			entry.markLeaving('i2', 1000);
			entry.setInstances(withState('live'), 3, 2000);
			entry.markReady('i2', 3000);
			expect(entry.standing('i2')!.kind).to.equal('leaving');
			entry.markReady('i2', 62_000);
			expect(entry.standing('i2')!.kind).to.equal('use');
		});
	});
});
