import {expect} from 'chai';
import {createReportScheduler, type InstanceReport} from '@egretwing/core';

const repeatMs = 500;

/** Size of three rows. */
const limitBytes = 57;

const busy = (count: number): readonly InstanceReport[] => Array.from({length: count}, (_, index) => ({instanceId: `busy-${index}`, inFlight: 1}));

const avoided: InstanceReport = {instanceId: 'avoided', inFlight: 0, avoidMs: 5000};

type Step = {readonly atMs: number; readonly instances: readonly InstanceReport[]};

const reportedIds = (steps: readonly Step[]): ReadonlyArray<readonly string[]> => {
	const scheduler = createReportScheduler();
	return steps.map(({atMs, instances}) => scheduler.takeRows({instances}, limitBytes, repeatMs, atMs).map(({instanceId}) => instanceId));
};

describe('report scheduler', () => {
	const cases: ReadonlyArray<readonly [title: string, steps: readonly Step[], expected: ReadonlyArray<readonly string[]>]> = [
		[
			'sends an instance that broke a request before busy ones',
			[{atMs: 0, instances: [...busy(5), avoided]}],
			[['avoided', 'busy-0', 'busy-1']],
		],
		[
			'continues with rows that did not fit',
			[{atMs: 0, instances: busy(5)}, {atMs: 100, instances: busy(5)}],
			[['busy-0', 'busy-1', 'busy-2'], ['busy-3', 'busy-4']],
		],
		['sends no rows while nothing changes', [{atMs: 0, instances: busy(2)}, {atMs: 400, instances: busy(2)}], [['busy-0', 'busy-1'], []]],
		[
			'repeats requests in flight before they expire',
			[{atMs: 0, instances: busy(2)}, {atMs: 500, instances: busy(2)}],
			[['busy-0', 'busy-1'], ['busy-0', 'busy-1']],
		],
		[
			'repeats an avoidance that continues',
			[{atMs: 0, instances: [avoided]}, {atMs: 500, instances: [{...avoided, avoidMs: 4500}]}],
			[['avoided'], ['avoided']],
		],
		[
			'sends changes before repetitions',
			[{atMs: 0, instances: busy(3)}, {atMs: 500, instances: [...busy(3), {instanceId: 'new', inFlight: 1}]}],
			[['busy-0', 'busy-1', 'busy-2'], ['new', 'busy-0', 'busy-1']],
		],
		[
			'sends an instance whose last request ended without an answer once',
			[{atMs: 0, instances: busy(1)}, {atMs: 100, instances: []}, {atMs: 700, instances: []}],
			[['busy-0'], ['busy-0'], []],
		],
		[
			'sends an extended avoidance at once',
			[{atMs: 0, instances: [avoided]}, {atMs: 100, instances: [{...avoided, avoidMs: 6000}]}],
			[['avoided'], ['avoided']],
		],
		[
			'sends a later good answer although nothing is in flight',
			[{atMs: 0, instances: [{instanceId: 'good', inFlight: 0, goodAgeMs: 0}]}, {atMs: 600, instances: [{instanceId: 'good', inFlight: 0, goodAgeMs: 50}]}],
			[['good'], ['good']],
		],
		[
			'does not repeat a good answer that peers know',
			[{atMs: 0, instances: [{instanceId: 'good', inFlight: 0, goodAgeMs: 0}]}, {atMs: 600, instances: [{instanceId: 'good', inFlight: 0, goodAgeMs: 600}]}],
			[['good'], []],
		],
	];
	for (const [title, steps, expected] of cases) {
		it(title, () => {
			expect(reportedIds(steps)).to.deep.equal(expected);
		});
	}

	/** Times at which `steady` is sent while more other rows than fit change all the time. */
	const reportTimesMs = (steady: (atMs: number) => InstanceReport): readonly number[] => {
		const scheduler = createReportScheduler();
		return Array.from({length: 31}, (_, index) => index * 100).filter(atMs => {
			const changing = busy(4).map(instance => ({...instance, inFlight: 1 + ((atMs / 100) % 2)}));
			const rows = scheduler.takeRows({instances: [...changing, steady(atMs)]}, limitBytes, repeatMs, atMs);
			return rows.some(({instanceId}) => instanceId === steady(atMs).instanceId);
		});
	};

	const lasting: ReadonlyArray<readonly [title: string, steady: (atMs: number) => InstanceReport]> = [
		['an avoidance', atMs => ({...avoided, avoidMs: 5000 - atMs})],
		['a request in flight', () => ({instanceId: 'long', inFlight: 1})],
	];
	for (const [title, steady] of lasting) {
		it(`repeats ${title} before it expires while more rows change than fit`, () => {
			const times = reportTimesMs(steady);
			const pauses = times.slice(1).map((atMs, index) => atMs - times[index]!);
			expect(times.length, times.join(' ')).to.be.at.least(3);
			expect(Math.max(...pauses)).to.be.at.most(1000);
		});
	}

	it('counts the rows that did not fit', () => {
		const scheduler = createReportScheduler();
		const pendingRows = [0, 100, 200].map(atMs => {
			scheduler.takeRows({instances: busy(5)}, limitBytes, repeatMs, atMs);
			return scheduler.pendingRows();
		});
		expect(pendingRows).to.deep.equal([2, 0, 0]);
	});

	it('reports that nothing is in flight any more', () => {
		const scheduler = createReportScheduler();
		scheduler.takeRows({instances: busy(1)}, limitBytes, repeatMs, 0);
		expect(scheduler.takeRows({instances: []}, limitBytes, repeatMs, 100)).to.deep.equal([{instanceId: 'busy-0', inFlight: 0}]);
	});
});
