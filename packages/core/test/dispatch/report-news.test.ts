import {expect} from 'chai';
import {createReportScheduler, type InstanceReport} from '@egretwing/core';

const repeatMs = 500;

/** Room for three rows. */
const limitBytes = 57;

const busy = (count: number): readonly InstanceReport[] => Array.from({length: count}, (_, index) => ({instanceId: `busy-${index}`, inFlight: 1}));

const avoided: InstanceReport = {instanceId: 'avoided', inFlight: 0, avoidMs: 5000};

type Step = {readonly atMs: number; readonly instances: readonly InstanceReport[]};

const idsTold = (steps: readonly Step[]): ReadonlyArray<readonly string[]> => {
	const news = createReportScheduler();
	return steps.map(({atMs, instances}) => news.takeRows({instances}, limitBytes, repeatMs, atMs).map(({instanceId}) => instanceId));
};

describe('news for peers', () => {
	const cases: ReadonlyArray<readonly [title: string, steps: readonly Step[], told: ReadonlyArray<readonly string[]>]> = [
		[
			'name an instance that broke a request before busy ones',
			[{atMs: 0, instances: [...busy(5), avoided]}],
			[['avoided', 'busy-0', 'busy-1']],
		],
		[
			'go on with what had no place',
			[{atMs: 0, instances: busy(5)}, {atMs: 100, instances: busy(5)}],
			[['busy-0', 'busy-1', 'busy-2'], ['busy-3', 'busy-4']],
		],
		['are none while nothing changes', [{atMs: 0, instances: busy(2)}, {atMs: 400, instances: busy(2)}], [['busy-0', 'busy-1'], []]],
		[
			'repeat requests in flight before they lapse',
			[{atMs: 0, instances: busy(2)}, {atMs: 500, instances: busy(2)}],
			[['busy-0', 'busy-1'], ['busy-0', 'busy-1']],
		],
		[
			'repeat an avoidance that lasts',
			[{atMs: 0, instances: [avoided]}, {atMs: 500, instances: [{...avoided, avoidMs: 4500}]}],
			[['avoided'], ['avoided']],
		],
		[
			'put what changed before what is repeated',
			[{atMs: 0, instances: busy(3)}, {atMs: 500, instances: [...busy(3), {instanceId: 'new', inFlight: 1}]}],
			[['busy-0', 'busy-1', 'busy-2'], ['new', 'busy-0', 'busy-1']],
		],
		[
			'name an instance at which the last request ended without an answer, once',
			[{atMs: 0, instances: busy(1)}, {atMs: 100, instances: []}, {atMs: 700, instances: []}],
			[['busy-0'], ['busy-0'], []],
		],
		[
			'tell an avoidance that was extended at once',
			[{atMs: 0, instances: [avoided]}, {atMs: 100, instances: [{...avoided, avoidMs: 6000}]}],
			[['avoided'], ['avoided']],
		],
		[
			'repeat a later good answer, though nothing is in flight',
			[{atMs: 0, instances: [{instanceId: 'good', inFlight: 0, goodAgeMs: 0}]}, {atMs: 600, instances: [{instanceId: 'good', inFlight: 0, goodAgeMs: 50}]}],
			[['good'], ['good']],
		],
		[
			'do not repeat a good answer that peers know',
			[{atMs: 0, instances: [{instanceId: 'good', inFlight: 0, goodAgeMs: 0}]}, {atMs: 600, instances: [{instanceId: 'good', inFlight: 0, goodAgeMs: 600}]}],
			[['good'], []],
		],
	];
	for (const [title, steps, told] of cases) {
		it(title, () => {
			expect(idsTold(steps)).to.deep.equal(told);
		});
	}

	/** Times at which `steady` is told while as many others as there is room for change all the time. */
	const timesTold = (steady: (atMs: number) => InstanceReport): readonly number[] => {
		const news = createReportScheduler();
		return Array.from({length: 31}, (_, index) => index * 100).filter(atMs => {
			const changing = busy(4).map(instance => ({...instance, inFlight: 1 + ((atMs / 100) % 2)}));
			const told = news.takeRows({instances: [...changing, steady(atMs)]}, limitBytes, repeatMs, atMs);
			return told.some(({instanceId}) => instanceId === steady(atMs).instanceId);
		});
	};

	const lasting: ReadonlyArray<readonly [title: string, steady: (atMs: number) => InstanceReport]> = [
		['an avoidance', atMs => ({...avoided, avoidMs: 5000 - atMs})],
		['a request in flight', () => ({instanceId: 'long', inFlight: 1})],
	];
	for (const [title, steady] of lasting) {
		it(`repeat ${title} before it lapses, while more changes than there is room for`, () => {
			const times = timesTold(steady);
			const pauses = times.slice(1).map((atMs, index) => atMs - times[index]!);
			expect(times.length, times.join(' ')).to.be.at.least(3);
			expect(Math.max(...pauses)).to.be.at.most(1000);
		});
	}

	it('count what had no place', () => {
		const news = createReportScheduler();
		const untold = [0, 100, 200].map(atMs => {
			news.takeRows({instances: busy(5)}, limitBytes, repeatMs, atMs);
			return news.pendingRows();
		});
		expect(untold).to.deep.equal([2, 0, 0]);
	});

	it('tell that nothing is in flight any more', () => {
		const news = createReportScheduler();
		news.takeRows({instances: busy(1)}, limitBytes, repeatMs, 0);
		expect(news.takeRows({instances: []}, limitBytes, repeatMs, 100)).to.deep.equal([{instanceId: 'busy-0', inFlight: 0}]);
	});
});
