/** Entries and instances on a manual clock, for experiments with a request that crashes instances. */

import {createCrashHistory, type CrashHistory, type CrashReport} from '../../src/crash/index.ts';
import {createServiceAdmission, type LoadRequest, type Permit} from '../../src/load/index.ts';
import {createNaiveCrashMemory} from '../../src/naive/crash.ts';
import {createRandom, type Random} from '../../src/random.ts';
import {createTimeline} from '../load/timeline.ts';

/** How crashing requests are treated. */
export type Way
	/** No memory. */
	= | 'naive'
	/** Crashes are counted and exchanged; a request runs anywhere until the count is reached. */
		| 'counted'
	/** Also, a request seen at a crash runs on a single further instance. */
		| 'counted-alone'
	/** Also, a request without a recent answer runs on its home instances. */
		| 'homes';

/** One experiment. */
export type CrashExperiment = {
	readonly seed: number;
	readonly way: Way;
	readonly entries: number;
	readonly instances: number;
	/** Copies of the crashing request sent at once through different entries. */
	readonly copies: number;
	/** Time a copy runs until its instance dies. */
	readonly crashAfterMs: number;
	/** Time until another entry knows of a crash; undefined while the two halves of the entries are cut. */
	readonly exchangeMs: number;
	readonly isCut?: boolean;
	readonly innocentEveryMs: number;
	readonly durationMs: number;
};

/** What an experiment measured. */
export type CrashResult = {
	readonly instancesLost: number;
	readonly innocentsSent: number;
	readonly innocentsAnswered: number;
	/** Innocent requests refused as crash suspects. */
	readonly innocentsRefused: number;
	/** Innocent requests in flight at an instance when it died. */
	readonly innocentsHit: number;
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

const createMemory = (way: Way): CrashHistory => {
	if (way === 'naive') {
		return createNaiveCrashMemory();
	}

	const memory = createCrashHistory();
	return {
		...memory,
		placementOf(fingerprint, nowMs) {
			const placement = memory.placementOf(fingerprint, nowMs);
			const isLoose = (way !== 'homes' && placement.type === 'homes') || (way === 'counted' && placement.type === 'alone');
			return isLoose ? {type: 'anywhere'} : placement;
		},
	};
};

const salt = '#';

/** Without homes, each send of a request gets a place of its own. */
const saltFingerprint = (fingerprint: string, way: Way, random: Random): string =>
	way === 'homes' ? fingerprint : `${fingerprint}${salt}${random.next()}`;

const unsaltFingerprint = (fingerprint: string): string => fingerprint.split(salt, 1)[0] ?? fingerprint;

/** Runs one experiment to its end. */
export const runCrashExperiment = (experiment: CrashExperiment): CrashResult => {
	const {seed, way, entries, instances, copies, crashAfterMs, exchangeMs, durationMs} = experiment;
	const random = createRandom(seed);
	const timeline = createTimeline();
	let nowMs = 0;
	const result = {
		instancesLost: 0, innocentsSent: 0, innocentsAnswered: 0, innocentsRefused: 0, innocentsHit: 0,
	};
	const later = (delayMs: number, run: () => void): void => {
		timeline.add({atMs: nowMs + delayMs, run});
	};

	const ids = Array.from({length: instances}, (_, index) => `instance-${index}`);
	const diedAtMs = new Map<string, number>();
	const isDown = (id: string): boolean => nowMs - (diedAtMs.get(id) ?? Number.NEGATIVE_INFINITY) < restartMs;
	const running = new Map<string, Set<() => void>>(ids.map(id => [id, new Set()]));
	const nodes = Array.from({length: entries}, (_, index) => {
		const memory = createMemory(way);
		const load = createServiceAdmission<Call>({random: createRandom(seed + index), placementOf: (fingerprint, atMs) => memory.placementOf(unsaltFingerprint(fingerprint), atMs)});
		load.configure(
			{
				slotsPerInstance: 4, connectionsPerInstance: 400, queueLength: 64, queueWaitMs: 500, workspaceShare: 1,
			},
			ids.map(instanceId => ({instanceId, weight: 1})),
			1,
		);
		return {memory, load};
	});
	const sideOf = (entry: number): number => experiment.isCut === true ? entry % 2 : 0;

	const tell = (memory: CrashHistory, report: CrashReport): void => {
		later(exchangeMs * random.next(), () => {
			memory.record({...report, ageMs: exchangeMs}, nowMs);
		});
	};

	const share = (report: CrashReport, from: number): void => {
		for (const [index, node] of nodes.entries()) {
			if (index !== from && sideOf(index) === sideOf(from)) {
				tell(node.memory, report);
			}
		}
	};

	const kill = (id: string): void => {
		if (isDown(id)) {
			return;
		}

		result.instancesLost++;
		diedAtMs.set(id, nowMs);
		const cut = [...running.get(id)!];
		running.get(id)!.clear();
		for (const lose of cut) {
			lose();
		}
	};

	const end = (call: Call, isAnswered: boolean): void => {
		if (call.isCrashing) {
			later(resendMs, () => {
				send({
					...call, fingerprint: saltFingerprint('crashing', way, random), entry: Math.floor(random.next() * entries), attempts: 0, attemptedIds: [], deadlineMs: nowMs + deadlineMs,
				});
			});
		} else if (isAnswered) {
			result.innocentsAnswered++;
		}
	};

	const run = (call: Call, permit: Permit): void => {
		const {memory, load} = nodes[call.entry]!;
		const id = permit.instanceId;
		const finish = (attemptEnd: 'answered' | 'connect-failed' | 'died'): void => {
			load.release(permit, attemptEnd, nowMs);
			const isAnswered = attemptEnd === 'answered';
			if (isAnswered) {
				memory.recordAnswer(unsaltFingerprint(call.fingerprint), nowMs);
			}

			if (isAnswered || call.attempts >= maxAttempts) {
				end(call, isAnswered);
			} else {
				submit(call);
			}

			drain(call.entry);
		};

		call.attempts++;
		call.attemptedIds.push(id);
		if (isDown(id)) {
			later(connectMs, () => {
				finish('connect-failed');
			});
			return;
		}

		const lose = (): void => {
			result.innocentsHit += call.isCrashing ? 0 : 1;
			const report = {
				service: 's', fingerprint: unsaltFingerprint(call.fingerprint), instanceId: id, ageMs: 0,
			};
			memory.record(report, nowMs);
			share(report, call.entry);
			later(0, () => {
				finish('died');
			});
		};

		running.get(id)!.add(lose);
		later(call.isCrashing ? crashAfterMs : runMs * 2 * random.next(), () => {
			if (!running.get(id)!.has(lose)) {
				return;
			}

			if (call.isCrashing) {
				kill(id);
				return;
			}

			running.get(id)!.delete(lose);
			finish('answered');
		});
	};

	const refuse = (call: Call, kind: string): void => {
		result.innocentsRefused += !call.isCrashing && kind === 'crash-suspect' ? 1 : 0;
		end(call, false);
	};

	const submit = (call: Call): void => {
		const decision = nodes[call.entry]!.load.admit(call, nowMs);
		if (decision.type === 'run') {
			run(call, decision.permit);
		} else if (decision.type === 'refuse') {
			refuse(call, decision.kind);
		}
	};

	const drain = (entry: number): void => {
		for (const dispatch of nodes[entry]!.load.dispatch(nowMs)) {
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
		workspace: 'w', fingerprint: saltFingerprint(fingerprint, way, random), entry, isCrashing, attempts: 0, attemptedIds: [], deadlineMs: nowMs + deadlineMs, sentAtMs: nowMs,
	});

	const sendInnocent = (): void => {
		result.innocentsSent++;
		send(createCall(`innocent-${result.innocentsSent}`, Math.floor(random.next() * entries), false));
		later(experiment.innocentEveryMs * 2 * random.next(), sendInnocent);
	};

	const tick = (): void => {
		for (const entry of nodes.keys()) {
			drain(entry);
		}

		later(20, tick);
	};

	later(0, sendInnocent);
	later(0, tick);
	later(500, () => {
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
