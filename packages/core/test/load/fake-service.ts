/** Simulates a service with instances and entries on a manual clock, for load experiments. */

import {createRandom, type Random} from '../../src/random.ts';
import {createNaiveLoad} from '../../src/naive/load.ts';
import {
	createRetryBudget, createServiceAdmission, decideRetry,
	type AttemptEnd, type Candidate, type LoadRequest, type LoadSettings, type Permit, type Placement,
} from '../../src/load/index.ts';
import {createTimeline} from './timeline.ts';

/** How the instances handle requests beyond their slots. */
export type ExcessWork = 'queue' | 'shed';

/** One experiment. */
export type Experiment = {
	readonly seed: number;
	readonly mode: 'egretwing' | 'naive';
	readonly entries: number;
	readonly instances: number;
	readonly slots: number;
	readonly serviceMs: number;
	readonly deadlineMs: number;
	readonly durationMs: number;
	/** Initial time that does not count towards goodput, since averages are not warmed up. */
	readonly warmUpMs: number;
	/** Offered load as a multiple of the capacity. */
	readonly loadFactor: number;
	readonly excess: ExcessWork;
	/** Share of the load that arrives at the first entry; the others split the rest. */
	readonly firstEntryShare?: number;
	/** Share of attempts that fail after the instance has processed them. */
	readonly failureShare?: number;
	readonly retryBudgetShare?: number;
	/** Number of workspaces besides one large workspace, which sends `largestWorkspaceShare` of all requests. */
	readonly workspaces?: number;
	readonly largestWorkspaceShare?: number;
	readonly settings?: Partial<LoadSettings>;
	readonly placement?: Placement;
};

/** Measurements of an experiment. */
export type ExperimentResult = {
	readonly offered: number;
	/** Answers in time, as a share of the capacity of the slots. */
	readonly goodput: number;
	readonly retries: number;
	readonly refused: ReadonlyMap<string, number>;
	readonly answeredByWorkspace: ReadonlyMap<string, number>;
	readonly offeredByWorkspace: ReadonlyMap<string, number>;
	readonly maxQueueLength: number;
	readonly maxWorkspaceState: number;
	/** Highest number of requests at one instance at the same time, running or queued there. */
	readonly maxAtInstance: number;
};

const exponential = (random: Random, mean: number): number => -mean * Math.log(1 - random.next());

type Work = {readonly done: (end: AttemptEnd) => void};

/** Creates an instance with `slots` workers; further requests are queued without bound, or shed. */
const createInstance = (slots: number, excess: ExcessWork, runMs: () => number, schedule: (delayMs: number, run: () => void) => void) => {
	const waiting: Work[] = [];
	let busy = 0;
	const begin = (work: Work): void => {
		busy++;
		schedule(runMs(), () => {
			busy--;
			work.done('answered');
			const next = busy < slots ? waiting.shift() : undefined;
			if (next !== undefined) {
				begin(next);
			}
		});
	};

	return {
		submit(work: Work): void {
			if (busy < slots) {
				begin(work);
			} else if (excess === 'shed') {
				schedule(1, () => {
					work.done('shed');
				});
			} else {
				waiting.push(work);
			}
		},
		total: () => busy + waiting.length,
	};
};

type Call = LoadRequest & {
	readonly id: number;
	readonly attemptedIds: string[];
	readonly entry: number;
	attempts: number;
};

/** Runs one experiment to its end. */
export const runExperiment = (experiment: Experiment): ExperimentResult => {
	const {entries, instances, slots, serviceMs, deadlineMs, durationMs, loadFactor, excess, mode} = experiment;
	const random = createRandom(experiment.seed);
	const timeline = createTimeline();
	const maxAttempts = 3;
	let nowMs = 0;
	let goodAnswers = 0;
	let offered = 0;
	let retries = 0;
	let maxQueueLength = 0;
	let maxWorkspaceState = 0;
	let maxAtInstance = 0;
	const refused = new Map<string, number>();
	const answeredByWorkspace = new Map<string, number>();
	const offeredByWorkspace = new Map<string, number>();
	const increment = (counts: Map<string, number>, key: string): void => {
		counts.set(key, (counts.get(key) ?? 0) + 1);
	};

	const schedule = (delayMs: number, run: () => void): void => {
		timeline.add({atMs: nowMs + delayMs, run});
	};

	const candidates: readonly Candidate[] = Array.from({length: instances}, (_, index) => ({instanceId: `instance-${index}`, weight: 1}));
	const instancesById = new Map(candidates.map(({instanceId}) =>
		[instanceId, createInstance(slots, excess, () => exponential(random, serviceMs), schedule)]));
	const settings: LoadSettings = {
		slotsPerInstance: slots, connectionsPerInstance: 400, queueLength: 64, queueWaitMs: 500, workspaceShare: 0.5, ...experiment.settings,
	};
	const naive = createNaiveLoad();
	naive.setInstances(candidates.map(({instanceId}) => instanceId));
	const placement: Placement = experiment.placement ?? {type: 'homes'};
	const admissions = Array.from({length: entries}, (_, index) => {
		const admission = createServiceAdmission<Call>({random: createRandom(experiment.seed + index + 1), placementOf: () => placement});
		admission.configure(settings, candidates, entries);
		return admission;
	});
	const budgets = Array.from({length: entries}, () => createRetryBudget());

	const finish = (call: Call, end: AttemptEnd, failed: boolean): void => {
		if (end === 'answered' && !failed && nowMs <= call.deadlineMs) {
			goodAnswers += nowMs >= experiment.warmUpMs ? 1 : 0;
			increment(answeredByWorkspace, call.workspace);
			return;
		}

		const decision = mode === 'naive'
			? naive.shouldRetry(call.attempts, maxAttempts)
			: decideRetry({
				ran: end === 'shed' ? 'not-run' : 'unknown',
				semantics: 'idempotent',
				attempts: call.attempts,
				maxAttempts,
				remainingMs: call.deadlineMs - nowMs,
				expectedMs: admissions[call.entry]!.snapshot(nowMs).expectedMs,
				canSendAgain: true,
			}, budgets[call.entry]!).type === 'retry';
		if (!decision) {
			increment(refused, end);
			return;
		}

		retries++;
		submit(call);
	};

	const attempt = (call: Call, instanceId: string, permit?: Permit): void => {
		call.attempts++;
		call.attemptedIds.push(instanceId);
		const instance = instancesById.get(instanceId)!;
		instance.submit({
			done(end) {
				const failed = random.next() < (experiment.failureShare ?? 0);
				if (permit !== undefined) {
					admissions[call.entry]!.release(permit, end, nowMs);
				}

				finish(call, end, failed);
				dispatchWaiting(call.entry);
			},
		});
		maxAtInstance = Math.max(maxAtInstance, instance.total());
	};

	const dispatchWaiting = (entry: number): void => {
		for (const dispatch of admissions[entry]!.dispatch(nowMs)) {
			if (dispatch.type === 'run') {
				attempt(dispatch.request, dispatch.permit.instanceId, dispatch.permit);
			} else {
				increment(refused, dispatch.kind);
			}
		}
	};

	const submit = (call: Call): void => {
		if (mode === 'naive') {
			attempt(call, naive.choose()!);
			return;
		}

		const admission = admissions[call.entry]!;
		const decision = admission.admit(call, nowMs);
		const {queueLength, workspaceCount} = admission.snapshot(nowMs);
		maxQueueLength = Math.max(maxQueueLength, queueLength);
		maxWorkspaceState = Math.max(maxWorkspaceState, workspaceCount);
		if (decision.type === 'run') {
			attempt(call, decision.permit.instanceId, decision.permit);
		} else if (decision.type === 'refuse') {
			increment(refused, decision.kind);
		}
	};

	const chooseEntry = (): number => {
		if (random.next() < (experiment.firstEntryShare ?? 1 / entries)) {
			return 0;
		}

		return entries === 1 ? 0 : 1 + Math.floor(random.next() * (entries - 1));
	};

	const chooseWorkspace = (): string => {
		const isLargest = random.next() < (experiment.largestWorkspaceShare ?? 0);
		return isLargest ? 'large' : `workspace-${Math.floor(random.next() * (experiment.workspaces ?? 50))}`;
	};

	const capacityPerMs = instances * slots / serviceMs;
	const arrive = (): void => {
		offered++;
		const call: Call = {
			id: offered, workspace: chooseWorkspace(), fingerprint: `fingerprint-${offered}`, deadlineMs: nowMs + deadlineMs,
			attemptedIds: [], attempts: 0, entry: chooseEntry(),
		};
		increment(offeredByWorkspace, call.workspace);
		budgets[call.entry]!.deposit(experiment.retryBudgetShare ?? 0.1);
		submit(call);
		dispatchWaiting(call.entry);
		schedule(exponential(random, 1 / (capacityPerMs * loadFactor)), arrive);
	};

	schedule(0, arrive);
	for (;;) {
		const event = timeline.next();
		if (event === undefined || event.atMs > durationMs) {
			break;
		}

		nowMs = event.atMs;
		event.run();
	}

	return {
		offered, goodput: goodAnswers / (capacityPerMs * (durationMs - experiment.warmUpMs)), retries, refused, answeredByWorkspace, offeredByWorkspace,
		maxQueueLength, maxWorkspaceState, maxAtInstance,
	};
};
