import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {runHedged, type HedgeChance, type RunningAttempt} from '../src/hedge.ts';
import type {UpstreamOutcome} from '../src/upstream.ts';

const goodOutcome: UpstreamOutcome = {type: 'not-executed', statusCode: 503};

/** An attempt that ends after `tookMs`, or as soon as it is aborted. */
const createAttempt = (instanceId: string, tookMs: number): RunningAttempt => {
	const aborted = new AbortController();
	const ended = async (): Promise<UpstreamOutcome> => {
		try {
			await delay(tookMs, undefined, {signal: aborted.signal});
			return goodOutcome;
		} catch {
			return {type: 'aborted', isSent: true};
		}
	};

	return {
		placement: {instanceId, startedAtMs: 0, isTrial: false},
		ended: ended(),
		abort() {
			aborted.abort();
		},
	};
};

/** Longer than any test waits. */
const neverMs = 60_000;

describe('a request with several chances of a hedge', () => {
	const cases: ReadonlyArray<{
		readonly title: string;
		readonly firstMs: number;
		/** Ids of the instances to which the chances after 10, 20 and 30 ms lead; undefined where one is not allowed. */
		readonly secondIds: ReadonlyArray<string | undefined>;
		readonly expected: {readonly asked: number; readonly answeredBy: string};
	}> = [
		{
			title: 'uses none where its answer comes before', firstMs: 1, secondIds: ['b', 'c', 'd'], expected: {asked: 0, answeredBy: 'a'},
		},
		{
			title: 'uses the first one that is allowed', firstMs: neverMs, secondIds: ['b', 'c', 'd'], expected: {asked: 1, answeredBy: 'b'},
		},
		{
			title: 'goes on to the next one where one is not allowed', firstMs: neverMs, secondIds: [undefined, undefined, 'd'], expected: {asked: 3, answeredBy: 'd'},
		},
		{
			title: 'waits for its first attempt where none is allowed', firstMs: 60, secondIds: [undefined, undefined, undefined], expected: {asked: 3, answeredBy: 'a'},
		},
	];
	for (const {title, firstMs, secondIds, expected} of cases) {
		it(title, async () => {
			let asked = 0;
			const chances = secondIds.map((instanceId, index): HedgeChance => ({
				afterMs: 10 * (index + 1),
				startSecond() {
					asked++;
					return instanceId === undefined ? undefined : createAttempt(instanceId, 1);
				},
			}));
			const ended = await runHedged(createAttempt('a', firstMs), {chances, isGood: ({type}) => type === 'not-executed'});
			expect(ended.at(-1)!.placement.instanceId).to.equal(expected.answeredBy);
			expect(asked).to.equal(expected.asked);
			expect(ended.slice(0, -1).every(({isCancelled}) => isCancelled)).to.equal(true);
		});
	}
});
