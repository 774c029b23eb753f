import {expect} from 'chai';
import {
	createManualClock, toStoreOrder, type Coverage, type InstanceEntry,
} from '@egretwing/core';
import {createLogger} from '@egretwing/node';
import {Err, Ok, type Result} from 'ts-results-es';
import type {
	StoreClient, StoreFailure, StoreRead, StoreTopic,
} from '@egretwing/gateway';
import {createGatewayMetrics} from '../src/metrics.ts';
import {createStoreReader} from '../src/store-reader.ts';
import {openBarrier} from './support/errors.ts';

const read = (asOf: number, entries: readonly InstanceEntry[] = []): Result<StoreRead, StoreFailure> => Ok({entries, refused: [], asOf});

/** Order of a revision in the second era. */
const later = (revision: number): number => toStoreOrder(2, revision);
const earlier = (revision: number): number => toStoreOrder(1, revision);

const removal = (revision: number): InstanceEntry => ({instanceId: 'i-1', revision, record: null});

type Step = {
	readonly answer: Result<StoreRead, StoreFailure>;
	readonly tookMs?: number;
	/** Time after it during which reading is not wanted. */
	readonly pauseMs?: number;
	/** What another reader says once the answer has been reported. */
	readonly otherReadingForMs?: number;
};

/** Revision up to which other readers have read, constant or by the time. */
type KnownAsOf = number | ((nowMs: number) => number);

const startMs = 1000;
const rounds = 80;
const roundMs = 100;
const answerMs = 10;

/** Runs a reader against scripted answers of the store; returns its calls and what it reported. */
const play = async (steps: readonly Step[], knownAsOf: KnownAsOf = -1, topic: StoreTopic = 'instances', {playedRounds = rounds, completeAsOf}: {readonly playedRounds?: number; readonly completeAsOf?: number} = {}) => {
	const clock = createManualClock(startMs);
	const calls: string[] = [];
	const callsAtMs: number[] = [];
	const reported: string[] = [];
	const coverages: Coverage[] = [];
	const queue = [...steps];
	const told: number[] = [];
	let wantedFromMs = 0;
	const take = async (call: string): Promise<Result<StoreRead, StoreFailure>> => {
		calls.push(call);
		callsAtMs.push(clock.nowMs());
		const step = queue.shift()!;
		clock.advanceMs(step.tookMs ?? answerMs);
		wantedFromMs = clock.nowMs() + (step.pauseMs ?? 0);
		told.push(...step.otherReadingForMs === undefined ? [] : [step.otherReadingForMs]);
		return step.answer;
	};

	const client: StoreClient = {
		readAll: async () => take('all'),
		watch: async (_topic, afterRevision) => take(`watch ${afterRevision}`),
		close: () => undefined,
	};
	const currentAsOf = (): number => typeof knownAsOf === 'number' ? knownAsOf : knownAsOf(clock.nowMs());
	const reader = createStoreReader({
		topic,
		client,
		nowMs: clock.nowMs,
		logger: createLogger('test', 'h', 0),
		metrics: createGatewayMetrics(),
		errors: openBarrier,
		knownAsOf: currentAsOf,
		completeAsOf: () => completeAsOf ?? currentAsOf(),
		isWanted: () => queue.length > 0 && clock.nowMs() >= wantedFromMs,
		onRead(_topic, {
			entries, asOf, missingUsableForMs, coverage,
		}, isFull) {
			coverages.push(coverage);
			const missing = missingUsableForMs === undefined ? '' : ` missing usable for ${missingUsableForMs}`;
			reported.push(`${isFull ? 'full' : 'changes'} ${asOf}${entries.some(entry => entry.isLapsed) ? ' lapsed' : ''}${missing}`);
		},
		onReachable() {
			reported.push('reachable');
		},
		onFailure(failure) {
			reported.push(failure);
		},
	});
	for (let round = 0; round < playedRounds; round++) {
		reader.tick();
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		for (const readingForMs of told.splice(0)) {
			reader.observeOther(readingForMs);
		}

		clock.advanceMs(roundMs);
	}

	return {
		calls, reported, coverages, callsAtMs, reader, endedAtMs: clock.nowMs(),
	};
};

describe('reader of the store', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly steps: readonly Step[]; readonly knownAsOf?: number; readonly calls: readonly string[]; readonly reported: readonly string[]}> = [
		{
			title: 'keeps instances that are missing from a full read after an outage, while they may register again',
			steps: [{answer: read(8)}, {answer: Err('silent'), tookMs: 1500}, {answer: Err('history-gone')}, {answer: read(30)}],
			calls: ['all', 'watch 8', 'watch 8', 'all'],
			reported: ['full 8', 'silent', 'reachable', 'full 30 missing usable for 2500'],
		},
		{
			title: 'reads everything first and watches from there',
			steps: [{answer: read(5)}, {answer: read(7)}, {answer: read(7)}],
			calls: ['all', 'watch 5', 'watch 7'],
			reported: ['full 5', 'changes 7', 'changes 7'],
		},
		{
			title: 'watches from the revision that another reader has read',
			steps: [{answer: read(9)}],
			knownAsOf: 8,
			calls: ['watch 8'],
			reported: ['changes 9'],
		},
		{
			title: 'reads everything again when the history is gone, whatever revision is known',
			steps: [{answer: Err('history-gone')}, {answer: read(30)}, {answer: read(31)}],
			knownAsOf: 8,
			calls: ['watch 8', 'all', 'watch 30'],
			reported: ['full 30', 'changes 31'],
		},
		{
			title: 'reports each failure and the first success after it',
			steps: [{answer: Err('silent')}, {answer: Err('turned-away')}, {answer: read(9)}],
			knownAsOf: 8,
			calls: ['watch 8', 'watch 8', 'watch 8'],
			reported: ['silent', 'turned-away', 'reachable', 'changes 9'],
		},
		{
			title: 'marks removals just after an outage as expired registrations, which may come back',
			steps: [{answer: read(8)}, {answer: Err('silent'), tookMs: 1500}, {answer: read(9, [removal(9)])}],
			knownAsOf: 7,
			calls: ['watch 7', 'watch 8', 'watch 8'],
			reported: ['changes 8', 'silent', 'reachable', 'changes 9 lapsed'],
		},
		{
			title: 'does not mark a removal without an outage',
			steps: [{answer: read(9, [removal(9)])}],
			knownAsOf: 8,
			calls: ['watch 8'],
			reported: ['changes 9'],
		},
	];
	for (const {title, steps, knownAsOf, calls, reported} of cases) {
		it(title, async () => {
			expect(await play(steps, knownAsOf)).to.deep.include({calls, reported});
		});
	}

	it('watches from where nothing is missing, although newer changes are known', async () => {
		// Guards against a change that a gateway missed, and that it never learns of when it is the next to read the store.
		const {calls} = await play([{answer: read(9)}], 8, 'instances', {completeAsOf: 6});
		expect(calls).to.deep.equal(['watch 6']);
	});

	it('reads everything where only changes are known', async () => {
		const {calls} = await play([{answer: read(9)}], 8, 'instances', {completeAsOf: -1});
		expect(calls).to.deep.equal(['all']);
	});

	it('tells what it has read without a gap, and until when the missing may register again after its start', async () => {
		const {coverages} = await play([{answer: read(5)}, {answer: read(7)}]);
		expect(coverages).to.deep.equal([{sinceAsOf: -1, asOf: 5, lapsesUntilMs: startMs + answerMs + 2500}, {sinceAsOf: 5, asOf: 7}]);
	});

	const eraCases: ReadonlyArray<{readonly title: string; readonly steps: readonly Step[]; readonly knownAsOf: KnownAsOf; readonly calls: readonly string[]; readonly reported: readonly string[]}> = [
		{
			title: 'reads everything when its watch meets the later era, and lets what is missing be written again',
			steps: [{answer: read(earlier(9))}, {answer: Err('era-changed')}, {answer: read(later(5))}, {answer: read(later(6), [removal(later(6))])}],
			knownAsOf: earlier(8),
			calls: [`watch ${earlier(8)}`, `watch ${earlier(9)}`, 'all', `watch ${later(5)}`],
			reported: [`changes ${earlier(9)}`, `full ${later(5)} missing usable for 2500`, `changes ${later(6)} lapsed`],
		},
		{
			title: 'reads everything when the revision is gone, also where the later era shows only then',
			steps: [{answer: Err('history-gone')}, {answer: read(later(5))}, {answer: read(later(6))}],
			knownAsOf: earlier(8),
			calls: [`watch ${earlier(8)}`, 'all', `watch ${later(5)}`],
			reported: [`full ${later(5)} missing usable for 2500`, `changes ${later(6)}`],
		},
		{
			title: 'does not let anything be written again once registrations must be back',
			steps: [{answer: Err('era-changed')}, {answer: read(later(5)), pauseMs: 2600}, {answer: read(later(6), [removal(later(6))])}],
			knownAsOf: earlier(8),
			calls: [`watch ${earlier(8)}`, 'all', `watch ${later(5)}`],
			reported: [`full ${later(5)} missing usable for 2500`, `changes ${later(6)}`],
		},
		{
			title: 'watches on in the later era that another reader has read, and lets what is removed be written again',
			steps: [{answer: read(earlier(9)), pauseMs: 1000}, {answer: read(later(6), [removal(later(6))])}],
			knownAsOf: nowMs => nowMs < startMs + 1000 ? earlier(8) : later(5),
			calls: [`watch ${earlier(8)}`, `watch ${later(5)}`],
			reported: [`changes ${earlier(9)}`, `changes ${later(6)} lapsed`],
		},
		{
			title: 'refuses a full read of the earlier era, hands over and does not go back',
			steps: [{answer: Err('era-changed')}, {answer: read(earlier(90))}, {answer: read(later(7))}, {answer: read(later(8))}],
			knownAsOf: later(5),
			calls: [`watch ${later(5)}`, 'all', 'all', `watch ${later(7)}`],
			reported: ['outdated', 'reachable', `full ${later(7)}`, `changes ${later(8)}`],
		},
		{
			title: 'keeps the mark when another reader, which may not have noticed the later era, has read for long',
			steps: [
				{answer: Err('era-changed')},
				{answer: read(later(5))},
				{answer: read(later(6), [removal(later(6))]), otherReadingForMs: 9000},
				{answer: read(later(7), [removal(later(7))])},
			],
			knownAsOf: earlier(8),
			calls: [`watch ${earlier(8)}`, 'all', `watch ${later(5)}`, `watch ${later(6)}`],
			reported: [`full ${later(5)} missing usable for 2500`, `changes ${later(6)} lapsed`, `changes ${later(7)} lapsed`],
		},
		{
			title: 'takes the first era that it reads for no change',
			steps: [{answer: read(later(5))}, {answer: read(later(6), [removal(later(6))])}],
			knownAsOf: -1,
			calls: ['all', `watch ${later(5)}`],
			reported: [`full ${later(5)}`, `changes ${later(6)}`],
		},
	];
	for (const {title, steps, knownAsOf, calls, reported} of eraCases) {
		it(`after the store came back from an older copy ${title}`, async () => {
			const played = await play(steps, knownAsOf);
			expect({calls: played.calls, reported: played.reported}).to.deep.equal({calls, reported});
		});
	}

	/** Other readers get a change each 400 ms, but for a time without one. */
	const readByOthers = (gapFromMs: number, gapUntilMs: number) => (nowMs: number): number => {
		const readMs = nowMs < gapUntilMs ? Math.min(nowMs, gapFromMs) : nowMs;
		return 8 + Math.floor((readMs - startMs) / 400);
	};

	const turnedAwayFor5s: readonly Step[] = [{answer: read(8)}, {answer: Err('turned-away'), pauseMs: 5000}, {answer: read(60, [removal(60)])}];
	const replaced: ReadonlyArray<{readonly title: string; readonly knownAsOf: KnownAsOf; readonly isLapsed: boolean}> = [
		{title: 'does not mark a removal when other readers have read all the time', knownAsOf: readByOthers(0, 0), isLapsed: false},
		{title: 'does not mark a removal when other readers have read again for long enough for registrations to be renewed', knownAsOf: readByOthers(1500, 3000), isLapsed: false},
		{title: 'marks a removal when other readers have only just begun to read again', knownAsOf: readByOthers(1500, 5000), isLapsed: true},
		{title: 'marks a removal when other readers have not read for a while', knownAsOf: readByOthers(4000, 20_000), isLapsed: true},
	];
	for (const {title, knownAsOf, isLapsed} of replaced) {
		it(`${title} since the store turned this one away`, async () => {
			const {reported} = await play(turnedAwayFor5s, knownAsOf);
			expect(reported).to.deep.equal(['changes 8', 'turned-away', 'reachable', `changes 60${isLapsed ? ' lapsed' : ''}`]);
		});
	}

	const quiet = readByOthers(4000, 20_000);
	const toldByOther: ReadonlyArray<{readonly title: string; readonly otherReadingForMs: number; readonly reported: readonly string[]}> = [
		{title: 'takes the mark back when another reader has read for longer than registrations take to be renewed, though nothing changed', otherReadingForMs: 4000, reported: ['changes 60 lapsed', 'changes 60', 'changes 61']},
		{title: 'keeps the mark when another reader has only just begun to read', otherReadingForMs: 500, reported: ['changes 60 lapsed', 'changes 61 lapsed']},
	];
	for (const {title, otherReadingForMs, reported} of toldByOther) {
		it(`marks a removal after a failure of its own, and ${title}`, async () => {
			const steps = [...turnedAwayFor5s.slice(0, 2), {answer: read(60, [removal(60)]), otherReadingForMs}, {answer: read(61, [removal(61)])}];
			const played = await play(steps, quiet);
			expect(played.reported).to.deep.equal(['changes 8', 'turned-away', 'reachable', ...reported]);
		});
	}

	it('counts from the end of an outage that is shorter than the time between two watches may be', async () => {
		const answers = 40;
		const {reader, callsAtMs, endedAtMs} = await play([
			{answer: read(8)}, {answer: Err('silent'), tookMs: 700}, ...Array.from({length: answers}, (_, index) => ({answer: read(9 + index)})),
		], 7);
		expect(callsAtMs[2]! - callsAtMs[0]!).to.be.within(1000, 1500);
		expect(reader.readingForMs()).to.equal(endedAtMs - callsAtMs[2]! - answerMs);
	});

	it('tells for how long it has read without a gap, and nothing when it has not read lately', async () => {
		const answers = 40;
		const reading = await play(Array.from({length: answers}, (_, index) => ({answer: read(9 + index)})), 8);
		expect(reading.reader.readingForMs()).to.equal((rounds * roundMs) + ((answers - 1) * answerMs));
		const stopped = await play([{answer: read(9)}], 8);
		expect(stopped.reader.readingForMs()).to.equal(undefined);
	});

	// Guards against two readers of which each takes the other for the one that reads, after a failure that both met.
	it('does not tell for how long it has read once a call has failed, also when the store answers another reader again', async () => {
		const failed: readonly Step[] = [...Array.from({length: 30}, (_, index) => ({answer: read(9 + index)})), {answer: Err('unreachable')}];
		const {reader} = await play(failed, 8, 'instances', {playedRounds: 64});
		expect(reader.readingForMs()).to.equal(undefined);
		reader.observeOtherSuccess();
		expect(reader.readingForMs()).to.equal(undefined);
	});

	const resumed: ReadonlyArray<{readonly title: string; readonly topic: StoreTopic; readonly steps: readonly Step[]; readonly calls: readonly string[]}> = [
		{
			title: 'reads the configuration in full after a pause, since a watch would return each version since then',
			topic: 'config',
			steps: [{answer: read(5), pauseMs: 5000}, {answer: read(90)}, {answer: read(91)}],
			calls: ['all', 'all', 'watch 90'],
		},
		{
			title: 'reads the configuration in full after a failure',
			topic: 'config',
			steps: [{answer: read(5)}, {answer: Err('silent'), tookMs: 1500}, {answer: read(90)}, {answer: read(91)}],
			calls: ['all', 'watch 5', 'all', 'watch 90'],
		},
		{
			title: 'continues to watch the configuration after a short pause',
			topic: 'config',
			steps: [{answer: read(5), pauseMs: 500}, {answer: read(6), tookMs: 1000}, {answer: read(7)}],
			calls: ['all', 'watch 5', 'watch 6'],
		},
		{
			title: 'continues to watch the instances after a pause',
			topic: 'instances',
			steps: [{answer: read(5), pauseMs: 5000}, {answer: read(90)}],
			calls: ['all', 'watch 5'],
		},
	];
	for (const {title, topic, steps, calls} of resumed) {
		it(title, async () => {
			const played = await play(steps, -1, topic);
			expect(played.calls).to.deep.equal(calls);
		});
	}

	it('makes at most five watch calls a second while changes follow each other', async () => {
		const {callsAtMs} = await play(Array.from({length: 8}, (_, index) => ({answer: read(9 + index)})), 8);
		expect(callsAtMs).to.have.length(8);
		expect(callsAtMs.at(-1)! - callsAtMs[0]!).to.be.at.least(7 * 200);
	});

	const failures: ReadonlyArray<readonly [title: string, failAt: 'call' | 'read', calls: readonly string[]]> = [
		['reads everything again after a call that throws', 'call', ['all', 'all']],
		['reads everything again after a read that could not be applied', 'read', ['all', 'all']],
	];
	for (const [title, failAt, expected] of failures) {
		// Guards against a reader that never reads again, since an error has left it marked as running, while the others count on it.
		it(title, async () => {
			const clock = createManualClock(startMs);
			const calls: string[] = [];
			const recorded: string[] = [];
			const handedOver: string[] = [];
			let reads = 0;
			const take = async (call: string): Promise<Result<StoreRead, StoreFailure>> => {
				calls.push(call);
				if (failAt === 'call' && calls.length === 1) {
					throw new Error('call');
				}

				return read(5);
			};

			const reader = createStoreReader({
				topic: 'instances',
				client: {readAll: async () => take('all'), watch: async () => take('watch'), close: () => undefined},
				nowMs: clock.nowMs,
				logger: createLogger('test', 'h', 0),
				metrics: createGatewayMetrics(),
				errors: {
					record(place) {
						recorded.push(place);
					},
					run: openBarrier.run,
				},
				knownAsOf: () => -1,
				completeAsOf: () => -1,
				isWanted: () => reads === 0 || calls.length < 2,
				onRead() {
					reads++;
					if (failAt === 'read' && reads === 1) {
						throw new Error('read');
					}
				},
				onReachable: () => undefined,
				onFailure(failure) {
					handedOver.push(failure);
				},
			});
			for (let round = 0; round < rounds && calls.length < 2; round++) {
				reader.tick();
				await new Promise(resolve => {
					setImmediate(resolve);
				});
				clock.advanceMs(roundMs);
			}

			expect([calls, recorded, handedOver]).to.deep.equal([expected, ['store-reader'], ['undecodable']]);
		});
	}
});
