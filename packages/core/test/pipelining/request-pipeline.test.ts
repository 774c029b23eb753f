import {expect} from 'chai';
import fc from 'fast-check';
import {
	createRequestPipeline, maxConcurrentRequests, maxReadAheadBytes, maxReadAheadRequests, type RequestEffect,
} from '@egretwing/core';

const seed = 5_120_501;
const runs = 3000;

type TestRequest = {readonly name: string; readonly effect: RequestEffect};

const add = (effects: readonly RequestEffect[], lastIndex = -1) => {
	const pipeline = createRequestPipeline<TestRequest>();
	const requests = effects.map((effect, index): TestRequest => ({name: `${index} ${effect}`, effect}));
	for (const [index, request] of requests.entries()) {
		pipeline.add(request, index === lastIndex);
		pipeline.classify(request, request.effect);
	}

	return {pipeline, requests, take: () => pipeline.takeStartable().map(request => requests.indexOf(request))};
};

describe('createRequestPipeline', () => {
	const repeatable = 'repeatable';
	const once = 'at-most-once';
	const starts: ReadonlyArray<{
		readonly title: string; readonly effects: readonly RequestEffect[]; readonly lastIndex?: number; readonly started: readonly number[]; readonly startedNext: readonly number[];
	}> = [
		{
			title: 'starts requests that may be repeated at the same time', effects: [repeatable, repeatable, repeatable], started: [0, 1, 2], startedNext: [],
		},
		{
			title: 'starts at-most-once requests one after the other', effects: [once, once], started: [0], startedNext: [1],
		},
		{
			title: 'starts an at-most-once request only after the earlier ones', effects: [repeatable, once, repeatable], started: [0], startedNext: [1],
		},
		{
			title: 'starts nothing behind an unanswered at-most-once request', effects: [once, repeatable, repeatable], started: [0], startedNext: [1, 2],
		},
		{
			title: 'starts an at-most-once request behind a refused one when that is answered', effects: ['none', once], started: [], startedNext: [1],
		},
		{
			title: 'starts a request behind a refused one', effects: ['none', repeatable], started: [1], startedNext: [],
		},
		{
			title: 'never starts a request behind the last one of its connection', effects: [repeatable, repeatable, repeatable], lastIndex: 0, started: [0], startedNext: [],
		},
		{
			title: 'limits the number of requests in progress',
			effects: Array.from({length: maxConcurrentRequests + 2}, () => repeatable),
			started: Array.from({length: maxConcurrentRequests}, (_, index) => index),
			startedNext: [maxConcurrentRequests],
		},
	];
	for (const {title, effects, lastIndex, started, startedNext} of starts) {
		it(title, () => {
			const {pipeline, take} = add(effects, lastIndex);
			expect(take()).to.deep.equal(started);
			pipeline.decideClose(pipeline.current()!, false);
			pipeline.finishCurrent(false);
			expect(take()).to.deep.equal(startedNext);
		});
	}

	const closes: ReadonlyArray<readonly [title: string, effects: readonly RequestEffect[], lastIndex: number, isWanted: boolean, closes: boolean]> = [
		['closes behind the answer to the last request', [repeatable, once], 0, false, true],
		['closes where that is wanted', [repeatable], -1, true, true],
		['closes before a request that has not started', [once, once], -1, true, true],
		['does not close before a request in progress', [repeatable, repeatable], -1, true, false],
		['does not close unasked', [repeatable], -1, false, false],
	];
	for (const [title, effects, lastIndex, isWanted, expected] of closes) {
		it(title, () => {
			const {pipeline, requests, take} = add(effects, lastIndex);
			take();
			expect(pipeline.decideClose(requests[0]!, isWanted)).to.equal(expected);
		});
	}

	it('starts nothing behind an answer that will close the connection, before it is sent', () => {
		const {pipeline, requests, take} = add([repeatable, repeatable]);
		expect(take()).to.deep.equal([0, 1]);
		expect(pipeline.decideClose(requests[1]!, true)).to.equal(true);
		const later = {name: 'later', effect: repeatable} as const;
		pipeline.add(later, false);
		pipeline.classify(later, repeatable);
		expect(pipeline.takeStartable()).to.deep.equal([]);
	});

	it('starts nothing more when the connection is closed behind an answer for another reason', () => {
		const {pipeline, take} = add([once, once]);
		expect(take()).to.deep.equal([0]);
		pipeline.finishCurrent(true);
		expect(take()).to.deep.equal([]);
		expect(pipeline.isClosed()).to.equal(true);
	});

	it('waits with later requests until it is known what happens to an earlier one', () => {
		const pipeline = createRequestPipeline<TestRequest>();
		const [first, second] = [{name: 'first', effect: repeatable}, {name: 'second', effect: repeatable}] as const;
		pipeline.add(first, false);
		pipeline.add(second, false);
		pipeline.classify(second, repeatable);
		expect(pipeline.takeStartable()).to.deep.equal([]);
		pipeline.classify(first, repeatable);
		expect(pipeline.takeStartable()).to.deep.equal([first, second]);
	});

	it('asks not to read on beyond its limits on requests and bodies', () => {
		const many = add(Array.from({length: maxReadAheadRequests - 1}, () => repeatable));
		expect(many.pipeline.isReadAheadFull()).to.equal(false);
		many.pipeline.add({name: 'one more', effect: repeatable}, false);
		expect(many.pipeline.isReadAheadFull()).to.equal(true);
		const large = add([repeatable, repeatable]);
		large.pipeline.recordBody(large.requests[0]!, maxReadAheadBytes - 1);
		expect(large.pipeline.isReadAheadFull()).to.equal(false);
		large.pipeline.recordBody(large.requests[1]!, 1);
		expect(large.pipeline.isReadAheadFull()).to.equal(true);
	});
});

type Step
	= | {readonly type: 'read'; readonly effect: RequestEffect; readonly isLast: boolean; readonly isKnown: boolean}
		| {readonly type: 'learn'}
		| {readonly type: 'answer'; readonly wantsClose: boolean}
		| {readonly type: 'stop'};

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 5,
		arbitrary: fc.record({
			type: fc.constant('read' as const),
			effect: fc.constantFrom<RequestEffect>('none', 'repeatable', 'repeatable', 'at-most-once'),
			isLast: fc.integer({min: 0, max: 9}).map(value => value === 0),
			isKnown: fc.boolean(),
		}),
	},
	{weight: 3, arbitrary: fc.constant({type: 'learn' as const})},
	{weight: 4, arbitrary: fc.record({type: fc.constant('answer' as const), wantsClose: fc.integer({min: 0, max: 4}).map(value => value === 0)})},
	{weight: 1, arbitrary: fc.constant({type: 'stop' as const})},
);

/** Plays the steps on one connection; returns what was violated. */
const play = (steps: readonly Step[]): readonly string[] => {
	const pipeline = createRequestPipeline<TestRequest>();
	const violations: string[] = [];
	const read: TestRequest[] = [];
	const started = new Set<TestRequest>();
	const answered: TestRequest[] = [];
	let unknown: TestRequest[] = [];
	let isStopping = false;

	const start = (): void => {
		for (const request of pipeline.takeStartable()) {
			const earlier = read.slice(0, read.indexOf(request)).filter(other => !answered.includes(other));
			if (started.has(request) || request.effect === 'none') {
				violations.push(`started without need: ${request.name}`);
			}

			if (pipeline.isClosed()) {
				violations.push(`started behind a closing answer: ${request.name}`);
			}

			if (request.effect === 'at-most-once' && earlier.length > 0) {
				violations.push(`started once-only behind an unanswered one: ${request.name}`);
			}

			if (earlier.some(({effect}) => effect === 'at-most-once')) {
				violations.push(`started behind an unanswered once-only one: ${request.name}`);
			}

			started.add(request);
		}

		if ([...started].filter(request => !answered.includes(request)).length > maxConcurrentRequests) {
			violations.push('too many in progress');
		}
	};

	const learn = (): void => {
		for (const request of unknown) {
			pipeline.classify(request, request.effect);
		}

		unknown = [];
	};

	const answer = (wantsClose: boolean): void => {
		const current = pipeline.current();
		if (current === undefined || (current.effect !== 'none' && !started.has(current)) || unknown.includes(current)) {
			return;
		}

		const closes = pipeline.decideClose(current, wantsClose || isStopping);
		const later = read.slice(read.indexOf(current) + 1);
		if (closes && later.some(request => started.has(request))) {
			violations.push(`closed before a request in progress: ${current.name}`);
		}

		start();
		answered.push(current);
		pipeline.finishCurrent(false);
	};

	for (const [index, step] of steps.entries()) {
		switch (step.type) {
			case 'read': {
				const request = {name: `${index} ${step.effect}`, effect: step.effect};
				read.push(request);
				pipeline.add(request, step.isLast);
				if (step.isKnown) {
					pipeline.classify(request, step.effect);
				} else {
					unknown.push(request);
				}

				break;
			}

			case 'learn': {
				learn();
				break;
			}

			case 'answer': {
				answer(step.wantsClose);
				break;
			}

			case 'stop': {
				isStopping = true;
				break;
			}
		}

		start();
	}

	learn();
	start();
	for (let left = read.length; left > 0; left--) {
		answer(false);
		start();
	}

	if (answered.some((request, index) => request !== read[index])) {
		violations.push('answered out of order');
	}

	if ([...started].some(request => !answered.includes(request))) {
		violations.push('started and not answered');
	}

	if (!pipeline.isClosed() && answered.length < read.length) {
		violations.push('neither answered nor closed');
	}

	return violations;
};

describe('createRequestPipeline in any order of arrivals, answers and a stop', () => {
	it('answers everything that it starts, in order, and starts nothing that the caller sends again', () => {
		fc.assert(fc.property(fc.array(stepArbitrary, {minLength: 4, maxLength: 60, size: 'max'}), steps => {
			expect(play(steps)).to.deep.equal([]);
		}), {seed, numRuns: runs});
	});
});
