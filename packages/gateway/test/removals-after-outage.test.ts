import {expect} from 'chai';
import {
	createCatalogue, createManualClock, type InstanceEntry, type InstanceRecord,
} from '@egretwing/core';
import {createLogger} from '@egretwing/node';
import {Err, Ok, type Result} from 'ts-results-es';
import type {StoreClient, StoreFailure, StoreRead} from '@egretwing/gateway';
import {createGatewayMetrics} from '../src/metrics.ts';
import {createStoreReader, type StoreReader} from '../src/store-reader.ts';
import {openBarrier} from './support/errors.ts';

const stepMs = 10;
const tickMs = 100;
const answerMs = 10;
/** Time beyond its wait after which a call counts as failed. */
const timeoutMs = 500;
const outageFromMs = 5000;
/** Time for which the store has to be back before its acknowledgements count (`contact_ms`). */
const stableAfterMs = 3000;
/** Time within which gateways have to stop using an instance that is gone (`drain_ms`). */
const drainMs = 2000;
/** Time after the return of the store within which instances have registered again: "about two seconds". */
const registeredAgainMs = 1800;

type Change = {readonly atMs: number; readonly entry: InstanceEntry};

const record = (instanceId: string): InstanceRecord => ({
	service: 's', address: `10.0.0.${instanceId}`, port: 80, dataCentre: 'a', slots: 2, state: 'ready', warmupLeftMs: 0, bornAtMs: 100,
});

const change = (atMs: number, instanceId: string, revision: number, isRemoval: boolean): Change => ({
	atMs, entry: {instanceId, revision, record: isRemoval ? null : record(instanceId)},
});

/** A store in virtual time that is silent from `outageFromMs` to `returnedAtMs`; a call that meets the outage gets no answer. */
const createSilentStore = (nowMs: () => number, returnedAtMs: number, changes: readonly Change[]) => {
	const waiting = new Set<() => boolean>();
	const until = async (isOver: () => boolean): Promise<void> => new Promise(resolve => {
		waiting.add(() => {
			const isDone = isOver();
			if (isDone) {
				resolve();
			}

			return isDone;
		});
	});
	const newSince = (revision: number): readonly InstanceEntry[] => changes.filter(({atMs, entry}) => atMs <= nowMs() && entry.revision > revision).map(({entry}) => entry);
	const isSilentAt = (timeMs: number): boolean => timeMs >= outageFromMs && timeMs < returnedAtMs;

	const call = async (revision: number, waitMs: number): Promise<Result<StoreRead, StoreFailure>> => {
		const beganAtMs = nowMs();
		let isLost = false;
		await until(() => {
			isLost ||= isSilentAt(nowMs());
			return isLost ? nowMs() >= beganAtMs + waitMs + timeoutMs : nowMs() >= beganAtMs + waitMs || (nowMs() >= beganAtMs + answerMs && newSince(revision).length > 0);
		});
		const asOf = Math.max(revision, ...newSince(-1).map(entry => entry.revision));
		return isLost ? Err('silent') : Ok({entries: newSince(revision), refused: [], asOf});
	};

	const client: StoreClient = {
		readAll: async () => call(-1, answerMs),
		watch: async (_topic, afterRevision, waitMs) => call(afterRevision, waitMs),
		close: () => undefined,
	};
	return {
		client,
		advance() {
			for (const isOver of waiting) {
				if (isOver()) {
					waiting.delete(isOver);
				}
			}
		},
	};
};

/** Time in which a reader is wanted. */
type Wanted = {readonly fromMs: number; readonly untilMs?: number};

/** Plays readers that tell each other of failures and share one catalogue; returns when each instance was last usable, and for how long none was after the first registration. */
const play = async (returnedAtMs: number, changes: readonly Change[], wanted: readonly Wanted[]) => {
	const clock = createManualClock(0);
	const {nowMs} = clock;
	const store = createSilentStore(nowMs, returnedAtMs, changes);
	const catalogue = createCatalogue();
	const readers: readonly StoreReader[] = wanted.map(({fromMs, untilMs = Number.POSITIVE_INFINITY}, index) => createStoreReader({
		topic: 'instances',
		client: store.client,
		nowMs,
		logger: createLogger('test', 'h', 0),
		metrics: createGatewayMetrics(),
		errors: openBarrier,
		isWanted: () => nowMs() >= fromMs && nowMs() < untilMs,
		knownAsOf: () => catalogue.digest().instancesAsOf,
		completeAsOf: () => catalogue.completeness().asOf,
		onRead(_topic, {entries, asOf, coverage}) {
			catalogue.mergeInstances(entries, asOf, nowMs(), coverage);
		},
		onReachable() {
			for (const other of readers.toSpliced(index, 1)) {
				other.observeOtherSuccess();
			}
		},
		onFailure(_failure, failingForMs) {
			for (const other of readers.toSpliced(index, 1)) {
				other.observeOtherFailure(failingForMs);
			}
		},
	}));
	const lastUsableMs = new Map<string, number>();
	let noneUsableMs = 0;
	while (nowMs() < returnedAtMs + stableAfterMs + (3 * drainMs)) {
		store.advance();
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		if (nowMs() % tickMs === 0) {
			catalogue.tick(nowMs());
			for (const reader of readers) {
				reader.tick();
			}
		}

		const usable = catalogue.ready('s');
		noneUsableMs += usable.length === 0 && lastUsableMs.size > 0 ? stepMs : 0;
		for (const {instanceId} of usable) {
			lastUsableMs.set(instanceId, nowMs());
		}

		clock.advanceMs(stepMs);
	}

	return {lastUsableMs, noneUsableMs};
};

describe('removals after an outage of the store', () => {
	// The time from the begin of a call to the return of the store decides how late a reader notices it.
	const outagesMs = [1200, 2000, 2300, 3100, 4500, 4900];
	const readerCases: ReadonlyArray<readonly [title: string, wanted: (returnedAtMs: number) => readonly Wanted[]]> = [
		['one reader', () => [{fromMs: 0}]],
		['a second reader that is elected in the outage', returnedAtMs => [{fromMs: 0}, {fromMs: returnedAtMs - 600}]],
		['a reader that takes over from one that failed, when the store is back', returnedAtMs => [{fromMs: 0, untilMs: returnedAtMs - 600}, {fromMs: returnedAtMs + 300}]],
		['a reader that takes over from one that failed, and a third a second later', returnedAtMs => [
			{fromMs: 0, untilMs: returnedAtMs - 600}, {fromMs: returnedAtMs + 300, untilMs: returnedAtMs + 1200}, {fromMs: returnedAtMs + 1300},
		]],
	];
	for (const [title, wanted] of readerCases) {
		it(`end the use of an instance within ${drainMs} ms once the store is stable: ${title}`, async function () {
			// Guards against instances that leave after an outage and get requests beyond their drain time, since their removal is taken for an expired registration.
			this.timeout(60_000);
			for (const outageMs of outagesMs) {
				const returnedAtMs = outageFromMs + outageMs;
				const removals = [0, 60, 300, 600, 1200, 2000].map((afterMs, index) => change(returnedAtMs + stableAfterMs + afterMs, `${index + 1}`, 20 + index, true));
				const registrations = removals.map(({entry: {instanceId}}, index) => change(0, instanceId, 10 + index, false));
				const {lastUsableMs} = await play(returnedAtMs, [...registrations, ...removals], wanted(returnedAtMs));
				const late = removals.map(({atMs, entry: {instanceId}}) => lastUsableMs.get(instanceId)! - atMs);
				expect(Math.max(...late), `outage of ${outageMs} ms: used for ${late.join(', ')} ms`).to.be.at.most(drainMs);
			}
		});

		it(`keep the use of an instance that registers again within two seconds: ${title}`, async function () {
			this.timeout(60_000);
			for (const outageMs of outagesMs) {
				const returnedAtMs = outageFromMs + outageMs;
				const {noneUsableMs} = await play(returnedAtMs, [
					change(0, '1', 10, false), change(returnedAtMs - 400, '1', 20, true), change(returnedAtMs + registeredAgainMs, '1', 30, false),
				], wanted(returnedAtMs));
				expect(noneUsableMs, `outage of ${outageMs} ms`).to.equal(0);
			}
		});
	}
});
