import {expect} from 'chai';
import fc from 'fast-check';
import {createRandom, hashText} from '../../src/random.ts';
import {
	createRetryBudget, createServiceAdmission, decideRetry, type FailedAttempt, type LoadRequest, type Placement,
} from '../../src/load/index.ts';
import {findHomes, selectInstance, type InstanceView} from '../../src/load/selection.ts';

const seed = 4;

const createView = (index: number, change: Partial<InstanceView> = {}): InstanceView => ({
	instanceId: `instance-${index}`, idHash: hashText(`instance-${index}`), isEligible: true, isHeld: false, hasRoom: true,
	hasSuspect: false, cost: index, ...change,
});

const views = Array.from({length: 10}, (_, index) => createView(index));
const homesOf = (fingerprint: string) => findHomes(fingerprint, views, 3, () => true).map(view => view.instanceId);
const [firstId = '', secondId = '', thirdId = ''] = homesOf('f');
const change = (changes: Readonly<Record<string, Partial<InstanceView>>>) => views.map(view => ({...view, ...changes[view.instanceId]}));

describe('selection of an instance', () => {
	const homes: Placement = {type: 'homes'};
	const alone: Placement = {type: 'alone', excludedIds: [firstId]};
	const cases = [
		{
			title: 'chooses the home with the lower cost', placement: homes, views: change({[firstId]: {cost: 9}, [secondId]: {cost: 1}}), expected: secondId,
		},
		{
			title: 'chooses the other home when one has no free slot', placement: homes, views: change({[firstId]: {hasRoom: false}}), expected: secondId,
		},
		{
			title: 'waits while neither home has a free slot', placement: homes, views: change({[firstId]: {hasRoom: false}, [secondId]: {hasRoom: false}}), expected: undefined,
		},
		{
			title: 'skips an ejected home', placement: homes, views: change({[firstId]: {isEligible: false}, [secondId]: {hasRoom: false}}), expected: thirdId,
		},
		{
			title: 'waits while both homes have died recently', placement: homes, views: change({[firstId]: {isHeld: true, isEligible: false}, [secondId]: {isHeld: true}}), expected: undefined,
		},
		{
			title: 'runs a suspect on its next home', placement: alone, views, expected: secondId,
		},
		{
			title: 'lets a suspect wait while another one runs on its next home', placement: alone, views: change({[secondId]: {hasSuspect: true}}), expected: undefined,
		},
		{
			title: 'lets a suspect wait while its next home has died recently', placement: alone, views: change({[secondId]: {isHeld: true}}), expected: undefined,
		},
	];
	for (const {title, placement, views, expected} of cases) {
		it(title, () => {
			const selection = selectInstance({fingerprint: 'f', attemptedIds: []}, placement, views, createRandom(seed));
			expect(selection).to.deep.equal(expected === undefined ? {type: 'busy'} : {type: 'chosen', instanceId: expected});
		});
	}

	it('runs a request with a recent success on another instance when its homes have no free slot', () => {
		const busy = change({[firstId]: {hasRoom: false}, [secondId]: {hasRoom: false}});
		const selection = selectInstance({fingerprint: 'f', attemptedIds: []}, {type: 'anywhere'}, busy, createRandom(seed));
		expect(selection.type).to.equal('chosen');
	});

	it('chooses at most two instances for one fingerprint, at any entry and under any load', () => {
		fc.assert(fc.property(fc.string(), fc.array(fc.array(fc.record({cost: fc.nat(100), hasRoom: fc.boolean()}), {minLength: 10, maxLength: 10}), {maxLength: 20}), (fingerprint, loads) => {
			const chosen = new Set<string>();
			for (const load of loads) {
				const seen = views.map((view, index) => ({...view, ...load[index]}));
				const selection = selectInstance({fingerprint, attemptedIds: []}, homes, seen.toReversed(), createRandom(seed));
				if (selection.type === 'chosen') {
					chosen.add(selection.instanceId);
				}
			}

			expect(chosen.size).to.be.at.most(2);
		}), {seed});
	});

	it('distributes different fingerprints evenly', () => {
		const counts = new Map<string, number>();
		for (let index = 0; index < 10_000; index++) {
			const [home] = homesOf(`GET /boards/${index}`);
			counts.set(home!, (counts.get(home!) ?? 0) + 1);
		}

		expect(Math.min(...counts.values())).to.be.above(800);
		expect(Math.max(...counts.values())).to.be.below(1200);
	});
});

describe('retry decision', () => {
	const failed: FailedAttempt = {
		ran: 'unknown', semantics: 'idempotent', attempts: 1, maxAttempts: 3, remainingMs: 100, expectedMs: 10, canSendAgain: true,
	};
	const cases: ReadonlyArray<{readonly title: string; readonly change: Partial<FailedAttempt>; readonly expected: string}> = [
		{title: 'retries an idempotent request', change: {}, expected: 'retry'},
		{title: 'retries an at-most-once request that did not run', change: {semantics: 'at-most-once', ran: 'not-run'}, expected: 'retry'},
		{title: 'never retries an at-most-once request that may have run', change: {semantics: 'at-most-once'}, expected: 'not-repeatable'},
		{title: 'gives up when the body is no longer available', change: {canSendAgain: false}, expected: 'not-repeatable'},
		{title: 'gives up after the last attempt', change: {attempts: 3}, expected: 'attempts'},
		{title: 'gives up when the deadline leaves too little time', change: {remainingMs: 10}, expected: 'deadline'},
	];
	for (const {title, change, expected} of cases) {
		it(title, () => {
			const decision = decideRetry({...failed, ...change}, createRetryBudget());
			expect(decision.type === 'retry' ? 'retry' : decision.reason).to.equal(expected);
		});
	}

	it('never allows more retries than the share of requests and the initial tokens', () => {
		fc.assert(fc.property(fc.double({min: 0, max: 1, noNaN: true}), fc.array(fc.boolean(), {maxLength: 2000}), (share, steps) => {
			const budget = createRetryBudget();
			let requests = 0;
			let retries = 0;
			for (const isRequest of steps) {
				if (isRequest) {
					budget.deposit(share);
					requests++;
				} else {
					retries += decideRetry(failed, budget).type === 'retry' ? 1 : 0;
				}

				expect(retries).to.be.at.most((requests * share) + 3 + 1e-6);
			}
		}), {seed});
	});
});

describe('admission', () => {
	const settings = {
		slotsPerInstance: 2, connectionsPerInstance: 400, queueLength: 8, queueWaitMs: 100, workspaceShare: 0.5,
	};
	const createAdmission = (weights: readonly number[]) => {
		const admission = createServiceAdmission({random: createRandom(seed), placementOf: () => ({type: 'anywhere'})});
		admission.configure(settings, weights.map((weight, index) => ({instanceId: `instance-${index}`, weight})), 1);
		return admission;
	};

	const createRequest = (id: number, workspace = 'a', deadlineMs = 10_000): LoadRequest =>
		({
			workspace, fingerprint: `f-${id}`, deadlineMs, attemptedIds: [],
		});

	it('refuses a request when no instance accepts requests', () => {
		expect(createAdmission([0, 0]).admit(createRequest(1), 0)).to.deep.equal({type: 'refuse', kind: 'no-capacity'});
	});

	it('leaves the slots of the other instances free when requests hang at an ejected one', () => {
		const admission = createAdmission([1, 0]);
		const admitAll = (firstId: number, nowMs: number) =>
			Array.from({length: settings.slotsPerInstance}, (_, index) => admission.admit(createRequest(firstId + index), nowMs).type);
		expect(admitAll(0, 0)).to.deep.equal(['run', 'run']);
		admission.configure(settings, [{instanceId: 'instance-0', weight: 0}, {instanceId: 'instance-1', weight: 1}], 1);
		expect(admitAll(100, 1)).to.deep.equal(['run', 'run']);
	});

	const latencyCases = [
		{title: 'from the end of its body', sentWholeAtMs: 5990, expected: 'instance-0'},
		{title: 'from its start when it had no body', sentWholeAtMs: undefined, expected: 'instance-1'},
	];
	for (const {title, sentWholeAtMs, expected} of latencyCases) {
		it(`measures the latency of an instance by a request of 6 s ${title}`, () => {
			const admission = createAdmission([1, 0]);
			const answer = (id: number, fromMs: number, toMs: number, sentAtMs?: number): string | undefined => {
				const decision = admission.admit(createRequest(id), fromMs);
				if (decision.type !== 'run') {
					return undefined;
				}

				admission.release(decision.permit, 'answered', toMs, sentAtMs);
				return decision.permit.instanceId;
			};

			answer(1, 0, 6000, sentWholeAtMs);
			admission.configure(settings, [{instanceId: 'instance-0', weight: 0}, {instanceId: 'instance-1', weight: 1}], 1);
			answer(2, 6000, 6050);
			admission.configure(settings, [{instanceId: 'instance-0', weight: 1}, {instanceId: 'instance-1', weight: 1}], 1);
			expect(answer(3, 6050, 6060)).to.equal(expected);
		});
	}

	it('refuses a request whose deadline has passed', () => {
		expect(createAdmission([1]).admit(createRequest(1, 'a', 5), 5)).to.deep.equal({type: 'refuse', kind: 'deadline-expired'});
	});

	it('gives freed slots to a workspace within its share before one beyond it', () => {
		const admission = createAdmission([1, 1]);
		const running = Array.from({length: 4}, (_, id) => admission.admit(createRequest(id, 'large'), 0));
		expect(running.every(decision => decision.type === 'run')).to.be.true;
		admission.admit(createRequest(4, 'large'), 0);
		admission.admit(createRequest(5, 'small'), 0);
		const [first] = running;
		if (first?.type === 'run') {
			admission.release(first.permit, 'answered', 1);
		}

		expect(admission.dispatch(1).map(dispatch => [dispatch.type, dispatch.request.workspace])).to.deep.equal([['run', 'small']]);
	});

	it('never exceeds the slots of an instance and accounts for every permit, in any order of calls', () => {
		const step = fc.oneof(
			fc.record({type: fc.constant('admit' as const), workspace: fc.constantFrom('a', 'b', 'c')}),
			fc.record({type: fc.constant('release' as const), end: fc.constantFrom('answered', 'shed', 'connect-failed', 'died', 'timed-out', 'abandoned' as const)}),
			fc.record({type: fc.constant('advance' as const), durationMs: fc.nat(200)}),
		);
		fc.assert(fc.property(fc.array(step, {maxLength: 120}), steps => {
			const admission = createAdmission([1, 0.5, 1]);
			const permits: Array<Parameters<typeof admission.release>[0]> = [];
			let open = 0;
			let nowMs = 0;
			let id = 0;
			for (const current of steps) {
				if (current.type === 'admit') {
					const decision = admission.admit(createRequest(id++, current.workspace, nowMs + 1000), nowMs);
					open += decision.type === 'wait' ? 1 : 0;
					if (decision.type === 'run') {
						permits.push(decision.permit);
					}
				} else if (current.type === 'release') {
					const permit = permits.shift();
					if (permit !== undefined) {
						admission.release(permit, current.end, nowMs);
					}
				} else {
					nowMs += current.durationMs;
				}

				for (const dispatch of admission.dispatch(nowMs)) {
					open--;
					if (dispatch.type === 'run') {
						permits.push(dispatch.permit);
					}
				}

				const {inFlight, queueLength} = admission.snapshot(nowMs);
				expect(inFlight).to.equal(permits.length);
				expect(queueLength).to.equal(open);
				for (const instanceId of ['instance-0', 'instance-1', 'instance-2']) {
					expect(permits.filter(permit => permit.instanceId === instanceId).length).to.be.at.most(settings.slotsPerInstance);
				}
			}
		}), {seed, numRuns: 200});
	});
});
