import {expect} from 'chai';
import {
	createDispatcher, createRandom, createRetryWindow, fromReportRows, isAcceptedDuringShutdown, slackShareOf, toReportRows,
	type AttemptResult, type DispatchDecision, type DispatchRequest, type Dispatcher,
} from '@egretwing/core';
import {createInstances} from './load-model.ts';

const request = (changes: Partial<DispatchRequest> = {}): DispatchRequest => ({
	requestId: 'r', rank: 1, isIdempotent: false, isReturning: false, bodyBytes: 0, objectiveAtMs: 10_800, finalAtMs: 11_200, attemptedIds: [], ...changes,
});

const create = (count: number, slots = 1, dataCentres?: readonly string[]): Dispatcher<DispatchRequest> => {
	const dispatcher = createDispatcher('a', createRandom(1));
	dispatcher.setInstances(createInstances(count, slots, dataCentres));
	return dispatcher;
};

/** Instances that joined one that was there from the start and has left. */
const createJoined = (count: number): Dispatcher<DispatchRequest> => {
	const dispatcher = createDispatcher('a', createRandom(1));
	dispatcher.setInstances(createInstances(1, 1).map(first => ({...first, instanceId: 'first', knownSinceMs: -90_000})));
	dispatcher.setInstances(createInstances(count, 1));
	return dispatcher;
};

const sentTo = (decision: DispatchDecision): string => decision.type === 'send' ? decision.placement.instanceId : decision.type;

/** Sends one request at `nowMs` and ends it after `tookMs`. */
const run = (dispatcher: Dispatcher<DispatchRequest>, result: AttemptResult, nowMs: number, tookMs: number): string => {
	const decision = dispatcher.submit(request({objectiveAtMs: nowMs + 800, finalAtMs: nowMs + 1200}), nowMs);
	if (decision.type === 'send') {
		dispatcher.finish(decision.placement, result, nowMs + tookMs);
	}

	return sentTo(decision);
};

/** Sends each instance its first request; returns the one that proved itself last. */
const introduceAll = (dispatcher: Dispatcher<DispatchRequest>, count: number): string =>
	Array.from({length: count}, (_, index) => run(dispatcher, 'good', 5000 + (index * 1000), 100)).at(-1)!;

describe('dispatch decisions', () => {
	const ends: ReadonlyArray<readonly [result: AttemptResult, tookMs: number, isUsedNext: boolean]> = [
		['good', 200, true],
		['broken', 2, false],
		['server-error', 200, false],
		['no-answer', 1200, false],
		// A short time given to a request proves nothing against the instance.
		['no-answer', 400, true],
		['shed', 5, false],
		['unreachable', 350, false],
		['replaced', 5, false],
		['abandoned', 900, true],
	];
	for (const [result, tookMs, isUsedNext] of ends) {
		it(`${isUsedNext ? 'goes on using' : 'prefers others to'} an instance after ${result} in ${tookMs} ms`, () => {
			const dispatcher = createJoined(4);
			const proven = introduceAll(dispatcher, 4);
			expect(run(dispatcher, result, 9200, tookMs)).to.equal(proven);
			const next = dispatcher.submit(request({objectiveAtMs: 9200 + tookMs + 900, finalAtMs: 9200 + tookMs + 1300}), 9200 + tookMs + 1);
			expect(sentTo(next) === proven).to.equal(isUsedNext);
		});
	}

	it('tells peers to avoid an instance after a second error answer in a row, not after the first', () => {
		const dispatcher = create(1);
		const avoidMs = [9000, 9400].map(nowMs => {
			run(dispatcher, 'server-error', nowMs, 100);
			return dispatcher.report(nowMs + 100).instances[0]?.avoidMs ?? 0;
		});
		expect(avoidMs).to.deep.equal([0, 5000]);
	});

	it('leaves half of the slots in use when most instances look bad', () => {
		const dispatcher = create(4);
		for (let index = 0; index < 4; index++) {
			run(dispatcher, 'broken', 9000 + (index * 10), 2);
		}

		expect([0, 1].map(() => sentTo(dispatcher.submit(request(), 10_000)))).to.not.include('wait');
		expect(sentTo(dispatcher.submit(request(), 10_000))).to.equal('wait');
	});

	it('sends each instance that joined a request, and none of those that were there at the start for that alone', () => {
		const used = (dispatcher: Dispatcher<DispatchRequest>): number =>
			new Set(Array.from({length: 4}, (_, index) => run(dispatcher, 'good', 5000 + (index * 1000), 100))).size;
		expect([used(createJoined(4)), used(create(4))]).to.deep.equal([4, 1]);
	});

	it('sends an instance that joined a second ago its first request, also what can\'t be repeated', () => {
		const dispatcher = create(1, 4);
		run(dispatcher, 'good', 9000, 100);
		const [first] = createInstances(1, 4);
		dispatcher.setInstances([first!, {...first!, instanceId: 'joined', knownSinceMs: 9000}]);
		expect(sentTo(dispatcher.submit(request(), 10_000))).to.equal('joined');
	});

	it('waits half a service time for a trusted instance rather than use one that nobody has tried', () => {
		const dispatcher = create(2, 2);
		const proven = run(dispatcher, 'good', 9000, 100);
		const decisions = [0, 1, 2].map(() => sentTo(dispatcher.submit(request({objectiveAtMs: 10_800, finalAtMs: 11_200}), 10_000)));
		expect(decisions).to.deep.equal([proven, proven, 'wait']);
		expect(dispatcher.poll(10_100)).to.deep.equal([]);
		expect(dispatcher.poll(10_160).map(({decision}) => sentTo(decision))).to.deep.equal([proven === 'i-0' ? 'i-1' : 'i-0']);
	});

	it('lets what can be sent again use an untried instance at once', () => {
		const dispatcher = create(2, 1);
		const proven = run(dispatcher, 'good', 9000, 100);
		expect([0, 1].map(() => sentTo(dispatcher.submit(request({isIdempotent: true}), 10_000)))).to.have.members([proven, proven === 'i-0' ? 'i-1' : 'i-0']);
	});

	const told: ReadonlyArray<readonly [result: AttemptResult, tookMs: number, isTold: boolean]> = [
		['broken', 5, true],
		['shed', 5, true],
		// Silence may be due to the way between this gateway and the instance.
		['unreachable', 350, false],
		['no-answer', 1200, false],
	];
	for (const [result, tookMs, isTold] of told) {
		it(`${isTold ? 'tells' : 'does not tell'} peers to avoid an instance after ${result}`, () => {
			const dispatcher = create(1);
			run(dispatcher, result, 9000, tookMs);
			const [report] = dispatcher.report(9000 + tookMs).instances;
			expect(report?.avoidMs !== undefined).to.equal(isTold);
		});
	}

	it('avoids what a peer avoids, and counts what a peer has in flight', () => {
		const dispatcher = create(3);
		dispatcher.receiveReport('peer', {instances: [{instanceId: 'i-0', inFlight: 0, avoidMs: 3000}, {instanceId: 'i-1', inFlight: 1}]}, 9900);
		expect(sentTo(dispatcher.submit(request(), 10_000))).to.equal('i-2');
		expect(sentTo(dispatcher.submit(request(), 10_000))).to.equal('wait');
	});

	it('stays in its data centre while there is room, and leaves it rather than wait', () => {
		const dispatcher = create(2, 1, ['a', 'b']);
		const chosen = [0, 1].map(() => sentTo(dispatcher.submit(request(), 10_000)));
		expect(chosen).to.deep.equal(['i-0', 'i-1']);
	});

	const orders: ReadonlyArray<readonly [title: string, first: Partial<DispatchRequest>, second: Partial<DispatchRequest>]> = [
		['the more urgent', {rank: 2, requestId: 'late'}, {rank: 1, requestId: 'first'}],
		['a returning caller', {requestId: 'late'}, {isReturning: true, requestId: 'first'}],
		['the one whose objective ends first', {objectiveAtMs: 10_900, requestId: 'late'}, {objectiveAtMs: 10_780, requestId: 'first'}],
	];
	for (const [title, first, second] of orders) {
		it(`gives a free slot to ${title}`, () => {
			const dispatcher = create(1);
			const decision = dispatcher.submit(request(), 10_000);
			dispatcher.submit(request(first), 10_000);
			dispatcher.submit(request(second), 10_001);
			if (decision.type !== 'send') {
				throw new Error('expected a free slot');
			}

			dispatcher.finish(decision.placement, 'good', 10_100);
			expect(dispatcher.poll(10_100).map(({request: {requestId}}) => requestId)).to.deep.equal(['first']);
		});
	}

	it('rejects at once what would wait beyond its objective, with a time to come back', () => {
		const dispatcher = create(1);
		const decisions = Array.from({length: 5}, () => dispatcher.submit(request(), 10_000));
		expect(decisions.map(({type}) => type)).to.deep.equal(['send', 'wait', 'reject', 'reject', 'reject']);
		for (const decision of decisions) {
			if (decision.type === 'reject') {
				expect(decision.retryAfterMs).to.be.within(50, 2000);
			}
		}
	});

	it('rejects a waiting request once it can no longer be answered in time', () => {
		const dispatcher = create(1);
		dispatcher.submit(request(), 10_000);
		dispatcher.submit(request(), 10_000);
		expect(dispatcher.poll(11_100).map(({decision}) => decision.type)).to.deep.equal(['reject']);
	});

	it('holds a new instance to one request until it has answered', () => {
		const dispatcher = createDispatcher('a', createRandom(1));
		dispatcher.setInstances(createInstances(1, 4));
		expect([0, 1].map(() => dispatcher.submit(request(), 10_000).type)).to.deep.equal(['send', 'wait']);
	});

	it('finds an instance stalled whose request is far older than an answer takes', () => {
		const dispatcher = create(3);
		const id = sentTo(dispatcher.submit(request(), 10_000));
		expect(dispatcher.findStalled(10_700)).to.deep.equal([]);
		expect(dispatcher.findStalled(11_600)).to.deep.equal([id]);
	});
});

/** Share of the sound instances that get requests while many aren't served. */
const floorShare = 0.7;

/** A dispatcher that spreads its work at 10 s, since half of its last answers were no use to callers. */
const createSpreading = (count: number, seed = 1, slots = 1, dataCentres?: readonly string[]): Dispatcher<DispatchRequest> => {
	const dispatcher = createDispatcher('a', createRandom(seed));
	dispatcher.setInstances(createInstances(count, slots, dataCentres));
	for (let index = 0; index < 20; index++) {
		dispatcher.recordOutcome(index % 2 === 0, 9900);
	}

	return dispatcher;
};

const idOf = (index: number): string => `i-${index}`;

const rangeOf = (count: number): readonly number[] => Array.from({length: count}, (_, index) => index);

/** A peer had good answers of the first `count` instances. */
const hearGood = (dispatcher: Dispatcher<DispatchRequest>, count: number, nowMs: number): void => {
	dispatcher.receiveReport('peer', {instances: rangeOf(count).map(index => ({instanceId: idOf(index), inFlight: 0, goodAgeMs: 0}))}, nowMs);
};

describe('dispatch decisions while the gateway shuts down', () => {
	/** Six seconds are allowed, of which the last half second is for the end itself. */
	const stop = {beganAtMs: 10_000, endsAtMs: 15_500};

	const comings: ReadonlyArray<readonly [title: string, atMs: number, timeMs: number, isTaken: boolean]> = [
		['takes what comes first, however long it may take', 12_500, 5000, true],
		['takes what comes late and ends in time', 13_400, 2000, true],
		['refuses what comes late and may not end in time', 13_600, 2000, false],
		['refuses what comes at the end', 15_400, 400, false],
	];
	for (const [title, atMs, timeMs, isTaken] of comings) {
		it(title, () => {
			expect(isAcceptedDuringShutdown(stop, atMs + timeMs, atMs)).to.equal(isTaken);
		});
	}

	it('rejects at its end what waits, and what comes after, to be taken by another gateway at once', () => {
		const dispatcher = create(1);
		const waiting = request({requestId: 'waits'});
		expect(sentTo(dispatcher.submit(request(), 10_000))).to.equal('i-0');
		expect(sentTo(dispatcher.submit(waiting, 10_010))).to.equal('wait');
		const rejected: DispatchDecision = {type: 'reject', reason: 'stopping', retryAfterMs: 50};
		expect(dispatcher.stop(10_100)).to.deep.equal([{request: waiting, decision: rejected}]);
		expect(dispatcher.submit(request(), 10_110)).to.deep.equal(rejected);
		expect(dispatcher.poll(10_200)).to.deep.equal([]);
	});
});

describe('dispatch decisions while work is spread', () => {
	/** Sends a request each 100 ms, one after another, and counts the instances that got one. */
	const countUsed = (dispatcher: Dispatcher<DispatchRequest>, requests: number): number => {
		const used = rangeOf(requests).map(index => {
			const nowMs = 10_000 + (index * 100);
			dispatcher.recordOutcome(false, nowMs);
			return run(dispatcher, 'good', nowMs, 90);
		});
		return new Set(used).size;
	};

	for (const count of [20, 40]) {
		it(`uses each of ${count} idle instances before it uses one again`, () => {
			const dispatcher = createSpreading(count);
			hearGood(dispatcher, count, 9000);
			expect(countUsed(dispatcher, count)).to.equal(count);
		});
	}

	it('begins with other instances at each gateway', () => {
		const chosen = [1, 2, 3].map(seed => {
			const dispatcher = createSpreading(30, seed);
			hearGood(dispatcher, 30, 8000);
			return rangeOf(6).map(() => sentTo(dispatcher.submit(request(), 10_000))).join(' ');
		});
		expect(new Set(chosen).size).to.equal(3);
	});

	it('prefers an instance that no peer has used for a while', () => {
		const dispatcher = createSpreading(4);
		hearGood(dispatcher, 4, 8000);
		hearGood(dispatcher, 3, 9950);
		expect(sentTo(dispatcher.submit(request(), 10_000))).to.equal('i-3');
	});

	const unproven: ReadonlyArray<readonly [title: string, prepare: (dispatcher: Dispatcher<DispatchRequest>, id: string) => void]> = [
		['was never tried', () => undefined],
		['failed once and is avoided no longer', (dispatcher, instanceId) => {
			dispatcher.receiveReport('other', {instances: [{instanceId, inFlight: 0, goodAgeMs: 0}]}, 3900);
			dispatcher.receiveReport('other', {instances: [{instanceId, inFlight: 0, avoidMs: 5000}]}, 4000);
		}],
	];
	for (const [title, prepare] of unproven) {
		it(`sends an instance that ${title} one request at a time, also what can't be repeated`, () => {
			const dispatcher = createSpreading(6);
			prepare(dispatcher, 'i-5');
			hearGood(dispatcher, 5, 9950);
			expect(countUsed(dispatcher, 20)).to.equal(6);
		});
	}

	it('sends a request to an instance that broke one more than two seconds ago, which the floor counts as sound', () => {
		const dispatcher = createSpreading(6);
		dispatcher.receiveReport('other', {instances: [{instanceId: 'i-5', inFlight: 0, avoidMs: 5000}]}, 7900);
		hearGood(dispatcher, 5, 9950);
		expect(countUsed(dispatcher, 20)).to.equal(6);
	});

	it('does not seek out an instance that is avoided and in use only for want of others', () => {
		const dispatcher = createSpreading(10);
		hearGood(dispatcher, 4, 8000);
		dispatcher.receiveReport('peer', {instances: rangeOf(6).map(index => ({instanceId: idOf(index + 4), inFlight: 0, avoidMs: 5000}))}, 7000);
		expect(rangeOf(4).map(() => sentTo(dispatcher.submit(request(), 10_000)))).to.have.members(rangeOf(4).map(index => idOf(index)));
	});

	it('does not send a second request to an instance whose trial has not ended', () => {
		const dispatcher = createSpreading(3);
		hearGood(dispatcher, 2, 9950);
		const sent = rangeOf(3).map(() => sentTo(dispatcher.submit(request(), 10_000)));
		expect(sent.filter(id => id === 'i-2')).to.have.length(1);
	});

	const pending: ReadonlyArray<readonly [title: string, goodAtMs: number | undefined]> = [
		['proved itself before', 7900],
		['has to prove itself', undefined],
	];
	for (const [title, goodAtMs] of pending) {
		it(`comes back within two seconds to an instance that ${title} and has had one request since, which a peer reports again and again`, () => {
			const dispatcher = createSpreading(3, 1, 2);
			if (goodAtMs !== undefined) {
				dispatcher.receiveReport('other', {instances: [{instanceId: 'i-2', inFlight: 0, goodAgeMs: 0}]}, goodAtMs);
			}

			for (const atMs of [8100, 8600, 9100, 9600]) {
				dispatcher.receiveReport('peer', {instances: [{instanceId: 'i-2', inFlight: 1}]}, atMs);
			}

			hearGood(dispatcher, 2, 9950);
			expect(sentTo(dispatcher.submit(request(), 10_000))).to.equal('i-2');
		});
	}

	it('leaves an instance alone at which two requests stay without an answer', () => {
		const dispatcher = createSpreading(3, 1, 4);
		for (const peer of ['peer', 'other']) {
			dispatcher.receiveReport(peer, {instances: [{instanceId: 'i-2', inFlight: 1}]}, 8100);
			dispatcher.receiveReport(peer, {instances: [{instanceId: 'i-2', inFlight: 1}]}, 9500);
		}

		hearGood(dispatcher, 2, 9950);
		expect(sentTo(dispatcher.submit(request(), 10_000))).to.not.equal('i-2');
	});

	it('reaches an instance of another data centre within two seconds of its last request', () => {
		const dispatcher = createSpreading(3, 1, 1, ['a', 'a', 'b']);
		hearGood(dispatcher, 3, 8200);
		hearGood(dispatcher, 2, 9950);
		expect(sentTo(dispatcher.submit(request(), 10_000))).to.equal('i-2');
	});

	it('does not seek out an instance whose request is overdue', () => {
		const dispatcher = createSpreading(2);
		hearGood(dispatcher, 2, 8000);
		const [first, second] = rangeOf(2).map(() => dispatcher.submit(request({finalAtMs: 20_000}), 10_000));
		if (first?.type !== 'send' || second?.type !== 'send') {
			throw new Error('expected two placements');
		}

		dispatcher.finish(second.placement, 'good', 11_000);
		for (let index = 0; index < 20; index++) {
			dispatcher.recordOutcome(false, 11_500);
		}

		expect(sentTo(dispatcher.submit(request({objectiveAtMs: 13_000, finalAtMs: 14_000}), 11_500))).to.equal(second.placement.instanceId);
	});

	it('leaves the share of slots in use that the floor asks for when most instances look bad', () => {
		const dispatcher = createSpreading(10);
		dispatcher.receiveReport('peer', {instances: rangeOf(10).map(index => ({instanceId: idOf(index), inFlight: 0, avoidMs: 5000}))}, 7900);
		const sent = rangeOf(10).map(() => dispatcher.submit(request(), 10_000).type).filter(type => type === 'send').length;
		expect(sent / 10).to.be.at.least(floorShare);
	});
});

describe('report rows', () => {
	it('carry a report without loss', () => {
		const report = {instances: [{instanceId: 'i-1', inFlight: 2, goodAgeMs: 30}, {instanceId: 'i-2', inFlight: 0, avoidMs: 900}]};
		expect(fromReportRows(toReportRows(report))).to.deep.equal(report);
	});
});

describe('retry window', () => {
	const cases: ReadonlyArray<readonly [requests: number, slackShare: number, allowed: number]> = [
		[0, 1, 10],
		[0, 0.2, 2],
		[100, 1, 30],
		[100, 0.2, 22],
		[4, 0.005, 0],
	];
	for (const [requests, slackShare, allowed] of cases) {
		it(`lets ${allowed} repeated sends pass after ${requests} requests with ${slackShare} of the slack`, () => {
			const window = createRetryWindow({ratio: 0.2, slack: 10, windowMs: 10_000});
			for (let index = 0; index < requests; index++) {
				window.recordRequest(1000);
			}

			const taken = Array.from({length: 60}, () => window.tryAcquire(slackShare, 1000)).filter(Boolean).length;
			expect(taken).to.equal(allowed);
			expect(window.tryAcquire(slackShare, 5000)).to.equal(false);
		});
	}

	it('keeps 44 gateways within the allowance of the fleet while every instance sheds', () => {
		const random = createRandom(4);
		const gateways = Array.from({length: 44}, (_, index) => ({isPlaced: index < 3, window: createRetryWindow({ratio: 0.2, slack: 62, windowMs: 10_000})}));
		let requests = 0;
		let retries = 0;
		for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
			// Two requests in three reach the gateways that callers are sent to, the others test the configuration anywhere.
			const index = random.next() < 0.67 ? Math.floor(random.next() * 3) : Math.floor(random.next() * 44);
			const {isPlaced, window} = gateways[index]!;
			window.recordRequest(nowMs);
			requests++;
			retries += window.tryAcquire(slackShareOf(isPlaced, 3, 44), nowMs) ? 1 : 0;
		}

		expect(retries).to.be.at.most((0.2 * requests) + 62);
		expect(retries).to.be.at.least(0.2 * requests);
	});
});
