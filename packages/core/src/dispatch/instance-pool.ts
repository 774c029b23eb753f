/**
 * Tracks the requests at each instance of a service and selects the instance of the next request.
 *
 * Requests at an untested instance often fail, so that work goes to the instance with the latest good answer, in the
 * own data centre before others, and never beyond its slots, counting the requests of all gateways.
 */

import type {Random} from '../random.ts';
import {
	utilisationCost, idempotentRiskFactor, introductionDelayMs, maxPendingAtTarget, maxCoverageRequestShare, maxSparedRecoveredRatio, minCoverageShare, minSpreadUsedShare, minStalledMs, minUsedShare, overdueFactor, overdueRisk, preferredWaitFactor, recoveredDeviations, waitRiskThreshold, workingAgeMs, pendingSpreadIdleMs, coverageWindowMs, remoteCost, maxAnswerDistanceCost, remoteCostPerMegabyte, remoteSpreadCost, remoteSpreadIdleMs, reportLifetimeMs, spreadCost, spreadIdleMs, stalledFactor,
} from './constants.ts';
import {createInstancePauses, type PausedRun} from './instance-pauses.ts';
import {createInstanceReliability, type InstanceReliability} from './instance-reliability.ts';
import type {
	AttemptResult, DispatchInstance, DispatchReport, DispatchRequest, Placement,
} from './types.ts';

const bytesPerMegabyte = 1_000_000;

/** What the selection depends on besides the instances. */
export type ChoiceContext = {
	readonly nowMs: number;
	/** Mean service time. */
	readonly serviceMs: number;
	/** Mean service time of a kind of request. */
	readonly kindServiceMs: (kind: string | undefined) => number;
	/** True when work is spread over all usable instances rather than kept at those with recent good answers. */
	readonly isSpread: boolean;
	/** True when callers are sent to other gateways; the few requests that still arrive are best used as trials, for the others' benefit. */
	readonly isUnplaced: boolean;
};

type SpreadContext = ChoiceContext & {
	/** True when avoided instances that may have recovered are used while work is spread. */
	readonly usesRecovered: boolean;
};

/** Number of instances of a service by their state at this gateway. */
export type InstanceCounts = {
	readonly known: number;
	readonly avoided: number;
	/** Not avoided, but without a good answer since the last avoidance or since they became known. */
	readonly awaitingTrial: number;
	/** Not avoided, but without a request of this gateway for `spreadIdleMs`. */
	readonly rested: number;
	/** In a pause that it asked this gateway for. */
	readonly paused: number;
};

/** The instances of one service at one gateway. */
export type InstancePool = {
	readonly setInstances: (instances: readonly DispatchInstance[]) => void;
	/** Reserves a slot for a request; undefined when none may be used now. With `isWaitPreferred`, a non-repeatable request gets no risky instance. */
	readonly acquire: (request: DispatchRequest, context: ChoiceContext, isWaitPreferred: boolean) => Placement | undefined;
	/** Releases the slot and records the result; returns true when the instance is avoided from now on. */
	readonly finish: (placement: Placement, result: AttemptResult, context: ChoiceContext) => boolean;
	/** Ids of the instances found stalled since the last call. */
	readonly findStalled: (context: ChoiceContext) => readonly string[];
	/** Keeps requests from a run of an instance until `untilMs`. */
	readonly pause: (run: PausedRun, untilMs: number, nowMs: number) => void;
	/** When an instance besides `attemptedIds` is out of its pause, `nowMs` at the earliest; infinite when there is no such instance. */
	readonly availableAtMs: (attemptedIds: readonly string[], nowMs: number) => number;
	/** Slots that all gateways together may use. */
	readonly usableSlots: (context: ChoiceContext) => number;
	readonly ownInFlight: () => number;
	/** Requests of all gateways in flight at usable instances. */
	readonly inFlight: (context: ChoiceContext) => number;
	readonly report: (nowMs: number) => DispatchReport;
	readonly receiveReport: (peerId: string, report: DispatchReport, nowMs: number) => void;
	/** Counts the instances by state, for logs and metrics. */
	readonly countInstances: (context: ChoiceContext) => InstanceCounts;
	/** Inputs of the selection for one instance, for logs. */
	readonly explain: (instanceId: string, nowMs: number) => Readonly<Record<string, unknown>>;
};

type PeerUsage = {
	readonly inFlight: number;
	readonly receivedAtMs: number;
};

type InstanceState = {
	instance: DispatchInstance;
	reliability: InstanceReliability;
	readonly placements: Set<Placement>;
	readonly peers: Map<string, PeerUsage>;
	/** When this gateway last sent it a request. */
	usedAtMs: number;
	/** When a peer last sent it a request, as far as reports show. */
	peerUsedAtMs: number;
	/** End of its pause. */
	pausedUntilMs: number;
};

const peerInFlight = (state: InstanceState, nowMs: number): number => {
	let sum = 0;
	for (const [peerId, usage] of state.peers) {
		if (nowMs - usage.receivedAtMs > reportLifetimeMs) {
			state.peers.delete(peerId);
			continue;
		}

		sum += usage.inFlight;
	}

	return sum;
};

const inFlightAt = (state: InstanceState, nowMs: number): number => state.placements.size + peerInFlight(state, nowMs);

/** Service time beyond which the age of a request tells something about its instance: short kinds are no reason to suspect one sooner. */
const suspectServiceMs = ({kind}: Placement, {serviceMs, kindServiceMs}: ChoiceContext): number => Math.max(serviceMs, kindServiceMs(kind));

/** True when a request in flight is older than `factor` service times, and than `minAgeMs`. */
const hasOlderThan = (state: InstanceState, factor: number, minAgeMs: number, context: ChoiceContext): boolean => {
	for (const placement of state.placements) {
		if (context.nowMs - placement.startedAtMs > Math.max(minAgeMs, factor * suspectServiceMs(placement, context))) {
			return true;
		}
	}

	return false;
};

const lastUseMs = ({usedAtMs, peerUsedAtMs}: InstanceState): number => Math.max(usedAtMs, peerUsedAtMs);

/** When a peer last sent a request, as far as its report shows: only a rise of its requests in flight means a new one. */
const peerUseMs = (inFlightBefore: number, inFlight: number, goodAgeMs: number | undefined, nowMs: number): number => {
	if (inFlight > inFlightBefore) {
		return nowMs;
	}

	// A request that started and ended between two reports shows only by its good answer.
	return inFlightBefore === 0 && goodAgeMs !== undefined ? nowMs - goodAgeMs : Number.NEGATIVE_INFINITY;
};

/** Negative when `left` has been idle for longer. */
const compareLastUse = (left: InstanceState, right: InstanceState | undefined): number =>
	right === undefined || lastUseMs(left) === lastUseMs(right) ? 0 : lastUseMs(left) - lastUseMs(right);

const isPaused = ({pausedUntilMs}: InstanceState, nowMs: number): boolean => nowMs < pausedUntilMs;

const isOverdue = (state: InstanceState, context: ChoiceContext): boolean => hasOlderThan(state, overdueFactor, 0, context);

/** True when a failed attempt can be repeated on another instance. */
const canRepeat = ({isIdempotent, attemptedIds}: DispatchRequest): boolean => isIdempotent && attemptedIds.length === 0;

/** Cost of another data centre. That of the answer's bytes is bounded, so that it never outweighs what speaks against an instance. */
const remoteCostOf = ({bodyBytes, answerBytes = 0}: DispatchRequest): number =>
	remoteCost + (remoteCostPerMegabyte * bodyBytes / bytesPerMegabyte) + Math.min(maxAnswerDistanceCost, remoteCostPerMegabyte * answerBytes / bytesPerMegabyte);

/** Creates the pool of a gateway in `dataCentre`. */
export const createInstancePool = (dataCentre: string, random: Random): InstancePool => {
	const states = new Map<string, InstanceState>();
	/** When the first instances became known; only instances known later count as new. */
	let firstKnownMs = Number.POSITIVE_INFINITY;
	const removedStates = new Map<string, InstanceState>();
	const pauses = createInstancePauses();
	/** When requests were sent, in the last `coverageWindowMs`. */
	let startedAtMs: number[] = [];

	const createInstanceState = (instance: DispatchInstance): InstanceState => ({
		instance,
		reliability: createInstanceReliability(),
		placements: new Set(),
		peers: new Map(),
		usedAtMs: Number.NEGATIVE_INFINITY,
		peerUsedAtMs: Number.NEGATIVE_INFINITY,
		pausedUntilMs: pauses.untilMs(instance),
	});

	const unpausedStates = (nowMs: number): readonly InstanceState[] => [...states.values()].filter(state => !isPaused(state, nowMs));

	/** A trial may cost a request, so that avoided instances are tried early only when the others are too few for the spread to reach most sound ones. */
	const decideUseOfRecovered = (context: ChoiceContext): SpreadContext => {
		const {nowMs} = context;
		let working = 0;
		let recovered = 0;
		for (const {reliability} of unpausedStates(nowMs)) {
			working += Number(!reliability.isAvoided(nowMs) && reliability.goodAgeMs(nowMs) <= workingAgeMs);
			recovered += Number(reliability.mayHaveRecovered(nowMs));
		}

		return {...context, usesRecovered: recovered + (recoveredDeviations * Math.sqrt(recovered)) >= working * maxSparedRecoveredRatio};
	};

	const isExcluded = ({reliability}: InstanceState, {nowMs, isSpread, usesRecovered}: SpreadContext): boolean =>
		reliability.isAvoided(nowMs) && !(isSpread && usesRecovered && reliability.mayHaveRecovered(nowMs));

	/** Instances that may be used. Avoidance leaves a minimum share of the slots: the avoidances that end first are ignored. A pause is never ignored. */
	const usableStates = (context: SpreadContext): readonly InstanceState[] => {
		const {isSpread, nowMs} = context;
		const all = unpausedStates(nowMs);
		const usable = all.filter(state => !isExcluded(state, context));
		const wantedSlots = (isSpread ? minSpreadUsedShare : minUsedShare) * all.reduce((sum, {instance}) => sum + instance.slots, 0);
		let slots = usable.reduce((sum, {instance}) => sum + instance.slots, 0);
		if (slots >= wantedSlots) {
			return usable;
		}

		const avoided = all
			.filter(state => isExcluded(state, context))
			.toSorted((left, right) => left.reliability.avoidUntilMs() - right.reliability.avoidUntilMs());
		for (const state of avoided) {
			if (slots >= wantedSlots) {
				break;
			}

			usable.push(state);
			slots += state.instance.slots;
		}

		return usable;
	};

	/** An instance that needs a trial or is warming up gets one request at a time; while work is spread, it gets another after `spreadIdleMs`. */
	const slotsFor = (state: InstanceState, {nowMs, isSpread}: ChoiceContext): number => {
		const {instance, reliability} = state;
		const isWarm = nowMs >= instance.warmAtMs;
		if (isWarm && !reliability.needsTrial()) {
			return instance.slots;
		}

		const isIdleForLong = nowMs - lastUseMs(state) > spreadIdleMs;
		return isSpread && isIdleForLong ? Math.min(instance.slots, inFlightAt(state, nowMs) + 1) : 1;
	};

	/** False while a new instance of the own data centre is due its first request from this gateway. */
	const isIntroduced = ({instance, reliability, usedAtMs}: InstanceState, request: DispatchRequest, nowMs: number): boolean =>
		usedAtMs !== Number.NEGATIVE_INFINITY
		|| !reliability.needsTrial()
		|| instance.knownSinceMs <= firstKnownMs
		|| instance.dataCentre !== dataCentre
		|| !(request.isIdempotent || nowMs - instance.knownSinceMs >= introductionDelayMs);

	const requiredIdleMs = ({instance}: InstanceState, inFlight: number): number => {
		if (inFlight > 0) {
			return pendingSpreadIdleMs;
		}

		return instance.dataCentre === dataCentre ? spreadIdleMs : remoteSpreadIdleMs;
	};

	/** True when it has been idle long enough for the spread to select it next, whether or not it needs a trial. */
	const isSpreadTarget = (state: InstanceState, context: SpreadContext): boolean => {
		const inFlight = inFlightAt(state, context.nowMs);
		return context.isSpread
			&& context.nowMs - lastUseMs(state) > requiredIdleMs(state, inFlight)
			&& inFlight < maxPendingAtTarget
			&& !isExcluded(state, context)
			&& !isOverdue(state, context);
	};

	/** Also spreads work while coverage is low: requests may turn out unserved only later, when it is too late to reach other instances. */
	const spreadWhenCoverageIsLow = (usable: readonly InstanceState[], context: SpreadContext): SpreadContext => {
		const {nowMs, serviceMs} = context;
		const required = minCoverageShare * usable.length;
		const covered = usable.filter(state => nowMs - lastUseMs(state) <= coverageWindowMs).length;
		// Requests of peers in the window are estimated from their requests in flight.
		const peerRequests = usable.reduce((sum, state) => sum + peerInFlight(state, nowMs), 0) * coverageWindowMs / serviceMs;
		startedAtMs = startedAtMs.filter(atMs => nowMs - atMs <= coverageWindowMs);
		return covered < required && required <= maxCoverageRequestShare * (startedAtMs.length + peerRequests) ? {...context, isSpread: true} : context;
	};

	const costOf = (state: InstanceState, request: DispatchRequest, context: SpreadContext): number => {
		const {
			nowMs, isUnplaced,
		} = context;
		const {instance, reliability} = state;
		if (isUnplaced) {
			return random.next() + (instance.dataCentre === dataCentre ? 0 : 1);
		}

		// Sends a new instance its first request early, to learn whether it works.
		if (!isIntroduced(state, request, nowMs)) {
			return -1;
		}

		if (isSpreadTarget(state, context)) {
			return instance.dataCentre === dataCentre ? spreadCost : remoteSpreadCost;
		}

		const addedRisk = isOverdue(state, context) ? overdueRisk : 0;
		const risk = (reliability.risk(nowMs) + addedRisk) * (canRepeat(request) ? idempotentRiskFactor : 1);
		const distanceCost = instance.dataCentre === dataCentre ? 0 : remoteCostOf(request);
		const loadCost = utilisationCost * (inFlightAt(state, nowMs) + 1) / instance.slots;
		return risk + distanceCost + loadCost;
	};

	/** True when a slot of a low-risk instance is likely to become free within the preferred wait. */
	const isWorthWaiting = (usable: readonly InstanceState[], {attemptedIds}: DispatchRequest, nowMs: number): boolean => {
		const lowRisk = usable.filter(({instance, reliability}) => reliability.risk(nowMs) < waitRiskThreshold && !attemptedIds.includes(instance.instanceId));
		return lowRisk.reduce((sum, {instance}) => sum + instance.slots, 0) * preferredWaitFactor >= 1;
	};

	const releasePlacement = (placement: Placement): InstanceState | undefined => {
		const state = states.get(placement.instanceId);
		if (state?.placements.delete(placement)) {
			return state;
		}

		const removed = removedStates.get(placement.instanceId);
		removed?.placements.delete(placement);
		if (removed?.placements.size === 0) {
			removedStates.delete(placement.instanceId);
		}

		return undefined;
	};

	return {
		setInstances(instances) {
			const ids = new Set(instances.map(({instanceId}) => instanceId));
			for (const [id, state] of states) {
				if (!ids.has(id)) {
					states.delete(id);
					removedStates.set(id, state);
				}
			}

			if (states.size === 0 && firstKnownMs === Number.POSITIVE_INFINITY) {
				firstKnownMs = Math.min(...instances.map(({knownSinceMs}) => knownSinceMs));
			}

			for (const instance of instances) {
				const state = states.get(instance.instanceId);
				if (state === undefined) {
					states.set(instance.instanceId, createInstanceState(instance));
					continue;
				}

				if (state.instance.bornAtMs !== instance.bornAtMs) {
					state.reliability = createInstanceReliability();
					state.pausedUntilMs = pauses.untilMs(instance);
				}

				state.instance = instance;
			}
		},
		acquire(request, choiceContext, isWaitPreferred) {
			const {nowMs} = choiceContext;
			const baseContext = decideUseOfRecovered(choiceContext);
			const usable = usableStates(baseContext);
			const context = spreadWhenCoverageIsLow(usable, baseContext);
			const avoidsRisk = isWaitPreferred && !context.isUnplaced && !canRepeat(request) && isWorthWaiting(usable, request, nowMs);
			let best: InstanceState | undefined;
			let bestCost = Number.POSITIVE_INFINITY;
			let tieCount = 0;
			for (const state of usable) {
				const isFull = inFlightAt(state, nowMs) >= slotsFor(state, context);
				const isTooRisky = avoidsRisk && !isSpreadTarget(state, context) && isIntroduced(state, request, nowMs) && state.reliability.risk(nowMs) >= waitRiskThreshold;
				if (isFull || isTooRisky || request.attemptedIds.includes(state.instance.instanceId)) {
					continue;
				}

				const cost = costOf(state, request, context);
				const order = cost === bestCost ? compareLastUse(state, best) : cost - bestCost;
				if (order > 0) {
					continue;
				}

				tieCount = order === 0 ? tieCount + 1 : 1;
				// Breaks ties at random with equal probability, so that gateways do not all choose the first id.
				if (tieCount === 1 || random.next() * tieCount < 1) {
					best = state;
					bestCost = cost;
				}
			}

			if (best === undefined) {
				return undefined;
			}

			const {kind} = request;
			const placement: Placement = {
				instanceId: best.instance.instanceId, startedAtMs: nowMs, ...(kind !== undefined && {kind}), isTrial: best.reliability.needsTrial(),
			};
			best.placements.add(placement);
			startedAtMs.push(nowMs);
			best.usedAtMs = nowMs;
			return placement;
		},
		finish(placement, result, context) {
			const {nowMs} = context;
			// A missing answer says nothing about the instance when the request had little time.
			const isShortWait = result === 'no-answer' && nowMs - placement.startedAtMs < overdueFactor * suspectServiceMs(placement, context);
			return releasePlacement(placement)?.reliability.observe(isShortWait ? 'abandoned' : result, placement.startedAtMs, nowMs) ?? false;
		},
		findStalled(context) {
			return [...states.values()]
				.filter(state => hasOlderThan(state, stalledFactor, minStalledMs, context) && state.reliability.observeStall(context.nowMs))
				.map(({instance}) => instance.instanceId);
		},
		pause(run, untilMs, nowMs) {
			pauses.add(run, untilMs, nowMs);
			const state = states.get(run.instanceId);
			if (state?.instance.bornAtMs === run.bornAtMs) {
				state.pausedUntilMs = pauses.untilMs(run);
				state.reliability.requireTrial(nowMs);
			}
		},
		availableAtMs(attemptedIds, nowMs) {
			const others = [...states.values()].filter(({instance}) => !attemptedIds.includes(instance.instanceId));
			return Math.max(nowMs, Math.min(...others.map(({pausedUntilMs}) => pausedUntilMs)));
		},
		usableSlots: context => usableStates(decideUseOfRecovered(context)).reduce((sum, state) => sum + slotsFor(state, context), 0),
		ownInFlight: () => [...states.values()].reduce((sum, {placements}) => sum + placements.size, 0),
		inFlight: context => usableStates(decideUseOfRecovered(context)).reduce((sum, state) => sum + inFlightAt(state, context.nowMs), 0),
		report: nowMs => ({
			instances: [...states.values()].flatMap(({instance, reliability, placements}) => {
				const goodAtMs = reliability.ownGoodAtMs();
				const isGoodRecent = goodAtMs !== undefined && nowMs - goodAtMs < reportLifetimeMs * 2;
				const avoidMs = Math.round(reliability.reportedAvoidUntilMs() - nowMs);
				if (placements.size === 0 && !isGoodRecent && avoidMs <= 0) {
					return [];
				}

				return [{
					instanceId: instance.instanceId,
					inFlight: placements.size,
					...(isGoodRecent && {goodAgeMs: Math.round(nowMs - goodAtMs)}),
					...(avoidMs > 0 && {avoidMs}),
				}];
			}),
		}),
		receiveReport(peerId, report, nowMs) {
			for (const {instanceId, inFlight, goodAgeMs, avoidMs} of report.instances) {
				const state = states.get(instanceId);
				if (state === undefined) {
					continue;
				}

				const inFlightBefore = state.peers.get(peerId)?.inFlight ?? 0;
				if (inFlight > 0) {
					state.peers.set(peerId, {inFlight, receivedAtMs: nowMs});
				} else {
					state.peers.delete(peerId);
				}

				state.peerUsedAtMs = Math.max(state.peerUsedAtMs, peerUseMs(inFlightBefore, inFlight, goodAgeMs, nowMs));
				state.reliability.receiveReport(goodAgeMs === undefined ? undefined : nowMs - goodAgeMs, avoidMs === undefined ? undefined : nowMs + avoidMs, nowMs);
			}
		},
		countInstances({nowMs}) {
			const all = [...states.values()];
			const usable = all.filter(({reliability}) => !reliability.isAvoided(nowMs));
			return {
				known: all.length,
				avoided: all.length - usable.length,
				awaitingTrial: usable.filter(({reliability}) => reliability.needsTrial()).length,
				rested: usable.filter(({usedAtMs}) => nowMs - usedAtMs > spreadIdleMs).length,
				paused: all.filter(state => isPaused(state, nowMs)).length,
			};
		},
		explain(instanceId, nowMs) {
			const state = states.get(instanceId);
			if (state === undefined) {
				return {known: false};
			}

			return {
				dataCentre: state.instance.dataCentre,
				own: state.placements.size,
				peers: peerInFlight(state, nowMs),
				slots: state.instance.slots,
				...(isPaused(state, nowMs) && {pausedMs: Math.round(state.pausedUntilMs - nowMs)}),
				risk: Number(state.reliability.risk(nowMs).toFixed(3)),
			};
		},
	};
};
