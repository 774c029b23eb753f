/** Simulates entries and instances on a manual clock, for experiments with a request that crashes instances. */

import {createCrashHistory, type CrashHistory, type CrashReport} from '../../src/crash/index.ts';
import {createServiceAdmission, type LoadRequest, type Permit} from '../../src/load/index.ts';
import {createNaiveCrashHistory} from '../../src/naive/crash.ts';
import {createRandom, type Random} from '../../src/random.ts';
import {createTimeline} from '../load/timeline.ts';

/** How crashing requests are handled. */
export type CrashPolicy
	/** Crashes are not recorded. */
	= | 'naive'
	/** Crashes are counted and exchanged; a request runs on any instance until the limit is reached. */
		| 'counted'
	/** In addition, a request that was in flight at a crash runs on a single further instance. */
		| 'counted-alone'
	/** In addition, a request without a recent answer runs on its home instances. */
		| 'homes';

/** Configuration of one experiment. */
export type CrashExperiment = {
	readonly seed: number;
	readonly policy: CrashPolicy;
	readonly entries: number;
	readonly instances: number;
	/** Copies of the crashing request that are sent at the same time through different entries. */
	readonly copies: number;
	/** Time for which a copy runs until its instance crashes. */
	readonly crashAfterMs: number;
	/** Maximum delay until the other entries know of a crash; entries across a partition never learn of it. */
	readonly exchangeDelayMs: number;
	readonly isPartitioned?: boolean;
	readonly harmlessIntervalMs: number;
	readonly durationMs: number;
};

/** Results of one experiment. */
export type CrashResult = {
	readonly instancesLost: number;
	readonly harmlessSent: number;
	readonly harmlessAnswered: number;
	/** Harmless requests refused as crash suspects. */
	readonly harmlessRefused: number;
	/** Harmless requests in flight at an instance when it crashed. */
	readonly harmlessInterrupted: number;
};

type Call = LoadRequest & {
	readonly attemptedIds: string[];
	readonly entry: number;
	readonly isCrashing: boolean;
	attempts: number;
	readonly sentAtMs: number;
};

const restartMs = 3000;
const resendMs = 100;
const runMs = 20;
const connectMs = 1;
const deadlineMs = 2000;
const maxAttempts = 3;

const createPolicyHistory = (policy: CrashPolicy): CrashHistory => {
	if (policy === 'naive') {
		return createNaiveCrashHistory();
	}

	const history = createCrashHistory();
	return {
		...history,
		placementOf(fingerprint, nowMs) {
			const placement = history.placementOf(fingerprint, nowMs);
			const isUnrestricted = (policy !== 'homes' && placement.type === 'homes') || (policy === 'counted' && placement.type === 'alone');
			return isUnrestricted ? {type: 'anywhere'} : placement;
		},
	};
};

const salt = '#';

/** Without home instances, each send of a request gets its own fingerprint and so its own placement. */
const saltFingerprint = (fingerprint: string, policy: CrashPolicy, random: Random): string =>
	policy === 'homes' ? fingerprint : `${fingerprint}${salt}${random.next()}`;

const unsaltFingerprint = (fingerprint: string): string => fingerprint.split(salt, 1)[0] ?? fingerprint;

/** Runs one experiment. */
export const runCrashExperiment = (experiment: CrashExperiment): CrashResult => {
	const {seed, policy, entries, instances, copies, crashAfterMs, exchangeDelayMs, durationMs} = experiment;
	const random = createRandom(seed);
	const timeline = createTimeline();
	let nowMs = 0;
	const result = {
		instancesLost: 0, harmlessSent: 0, harmlessAnswered: 0, harmlessRefused: 0, harmlessInterrupted: 0,
	};
	const schedule = (delayMs: number, run: () => void): void => {
		timeline.add({atMs: nowMs + delayMs, run});
	};

	const ids = Array.from({length: instances}, (_, index) => `instance-${index}`);
	const diedAtMs = new Map<string, number>();
	const isDown = (id: string): boolean => nowMs - (diedAtMs.get(id) ?? Number.NEGATIVE_INFINITY) < restartMs;
	const running = new Map<string, Set<() => void>>(ids.map(id => [id, new Set()]));
	const nodes = Array.from({length: entries}, (_, index) => {
		const history = createPolicyHistory(policy);
		const admission = createServiceAdmission<Call>({random: createRandom(seed + index), placementOf: (fingerprint, atMs) => history.placementOf(unsaltFingerprint(fingerprint), atMs)});
		admission.configure(
			{
				slotsPerInstance: 4, connectionsPerInstance: 400, queueLength: 64, queueWaitMs: 500, workspaceShare: 1,
			},
			ids.map(instanceId => ({instanceId, weight: 1})),
			1,
		);
		return {history, admission};
	});
	const partitionOf = (entry: number): number => experiment.isPartitioned === true ? entry % 2 : 0;

	const sendReport = (history: CrashHistory, report: CrashReport): void => {
		schedule(exchangeDelayMs * random.next(), () => {
			history.record({...report, ageMs: exchangeDelayMs}, nowMs);
		});
	};

	const broadcastReport = (report: CrashReport, from: number): void => {
		for (const [index, node] of nodes.entries()) {
			if (index !== from && partitionOf(index) === partitionOf(from)) {
				sendReport(node.history, report);
			}
		}
	};

	const crash = (id: string): void => {
		if (isDown(id)) {
			return;
		}

		result.instancesLost++;
		diedAtMs.set(id, nowMs);
		const interrupts = [...running.get(id)!];
		running.get(id)!.clear();
		for (const interrupt of interrupts) {
			interrupt();
		}
	};

	const end = (call: Call, isAnswered: boolean): void => {
		if (call.isCrashing) {
			schedule(resendMs, () => {
				send({
					...call, fingerprint: saltFingerprint('crashing', policy, random), entry: Math.floor(random.next() * entries), attempts: 0, attemptedIds: [], deadlineMs: nowMs + deadlineMs,
				});
			});
		} else if (isAnswered) {
			result.harmlessAnswered++;
		}
	};

	const run = (call: Call, permit: Permit): void => {
		const {history, admission} = nodes[call.entry]!;
		const id = permit.instanceId;
		const finish = (attemptEnd: 'answered' | 'connect-failed' | 'died'): void => {
			admission.release(permit, attemptEnd, nowMs);
			const isAnswered = attemptEnd === 'answered';
			if (isAnswered) {
				history.recordAnswer(unsaltFingerprint(call.fingerprint), nowMs);
			}

			if (isAnswered || call.attempts >= maxAttempts) {
				end(call, isAnswered);
			} else {
				submit(call);
			}

			dispatchQueued(call.entry);
		};

		call.attempts++;
		call.attemptedIds.push(id);
		if (isDown(id)) {
			schedule(connectMs, () => {
				finish('connect-failed');
			});
			return;
		}

		const interrupt = (): void => {
			result.harmlessInterrupted += call.isCrashing ? 0 : 1;
			const report = {
				service: 's', fingerprint: unsaltFingerprint(call.fingerprint), instanceId: id, ageMs: 0,
			};
			history.record(report, nowMs);
			broadcastReport(report, call.entry);
			schedule(0, () => {
				finish('died');
			});
		};

		running.get(id)!.add(interrupt);
		schedule(call.isCrashing ? crashAfterMs : runMs * 2 * random.next(), () => {
			if (!running.get(id)!.has(interrupt)) {
				return;
			}

			if (call.isCrashing) {
				crash(id);
				return;
			}

			running.get(id)!.delete(interrupt);
			finish('answered');
		});
	};

	const refuse = (call: Call, kind: string): void => {
		result.harmlessRefused += !call.isCrashing && kind === 'crash-suspect' ? 1 : 0;
		end(call, false);
	};

	const submit = (call: Call): void => {
		const decision = nodes[call.entry]!.admission.admit(call, nowMs);
		if (decision.type === 'run') {
			run(call, decision.permit);
		} else if (decision.type === 'refuse') {
			refuse(call, decision.kind);
		}
	};

	const dispatchQueued = (entry: number): void => {
		for (const dispatch of nodes[entry]!.admission.dispatch(nowMs)) {
			if (dispatch.type === 'run') {
				run(dispatch.request, dispatch.permit);
			} else {
				refuse(dispatch.request, dispatch.kind);
			}
		}
	};

	const send = (call: Call): void => {
		submit(call);
	};

	const createCall = (fingerprint: string, entry: number, isCrashing: boolean): Call => ({
		workspace: 'w', fingerprint: saltFingerprint(fingerprint, policy, random), entry, isCrashing, attempts: 0, attemptedIds: [], deadlineMs: nowMs + deadlineMs, sentAtMs: nowMs,
	});

	const sendHarmless = (): void => {
		result.harmlessSent++;
		send(createCall(`innocent-${result.harmlessSent}`, Math.floor(random.next() * entries), false));
		schedule(experiment.harmlessIntervalMs * 2 * random.next(), sendHarmless);
	};

	const tick = (): void => {
		for (const entry of nodes.keys()) {
			dispatchQueued(entry);
		}

		schedule(20, tick);
	};

	schedule(0, sendHarmless);
	schedule(0, tick);
	schedule(500, () => {
		for (let copy = 0; copy < copies; copy++) {
			send(createCall('crashing', copy % entries, true));
		}
	});

	for (;;) {
		const event = timeline.next();
		if (event === undefined || event.atMs > durationMs) {
			return result;
		}

		nowMs = event.atMs;
		event.run();
	}
};
