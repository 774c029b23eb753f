/**
 * The instances of a service: who is working on what, and which one the next request goes to.
 *
 * Answers the load in which a request at an untested instance often fails: work goes to the instance that proved
 * itself last, in the own data centre before others, and never beyond the slots that all gateways together use.
 */

import type {Random} from '../random.ts';
import {
	crowdingCost, idempotentRiskFactor, introductionDelayMs, maxPendingAtTarget, maxReachingShare, minReachedShare, minSpreadUsedShare, minStalledMs, minUsedShare, overdueFactor, overdueRisk, patienceFactor, patientRisk, pendingSpreadIdleMs, reachedMs, remoteCost, remoteCostPerMegabyte, remoteSpreadCost, remoteSpreadIdleMs, reportLifetimeMs, spreadCost, spreadIdleMs, stalledFactor,
} from './constants.ts';
import {createInstanceTrust, type InstanceTrust} from './instance-trust.ts';
import type {
	AttemptResult, DispatchInstance, DispatchReport, DispatchRequest, Placement,
} from './types.ts';

const bytesPerMegabyte = 1_000_000;

/** What the choice depends on besides the instances. */
export type ChoiceContext = {
	readonly nowMs: number;
	/** Mean time that an answer takes. */
	readonly serviceMs: number;
	/** True when work is spread over all usable instances rather than kept at the proven ones. */
	readonly isSpread: boolean;
	/** True when callers are not sent to this gateway, so that the few requests it gets serve best as trials for the others. */
	readonly isUnplaced: boolean;
};

/** Instances of a service by what this gateway believes of them. */
export type InstanceCensus = {
	readonly known: number;
	readonly avoided: number;
	/** Not avoided, but without a good answer since they were, or since they became known. */
	readonly awaitingTrial: number;
	/** Not avoided, but without a request of this gateway for `spreadIdleMs`. */
	readonly rested: number;
};

/** The instances of one service at one gateway. */
export type InstancePool = {
	readonly setInstances: (instances: readonly DispatchInstance[]) => void;
	/** Takes a free slot for a request; undefined when none may be used now. One that is patient and can't be repeated takes no risky one. */
	readonly take: (request: DispatchRequest, context: ChoiceContext, isPatient: boolean) => Placement | undefined;
	/** Gives the slot back and learns from the attempt; true when the instance is avoided from now on. */
	readonly finish: (placement: Placement, result: AttemptResult, context: ChoiceContext) => boolean;
	/** Instances that were found stalled since the last call. */
	readonly findStalled: (context: ChoiceContext) => readonly string[];
	/** True when an instance besides those that were attempted exists. */
	readonly hasOther: (attemptedIds: readonly string[]) => boolean;
	/** Slots that may be used, over all gateways. */
	readonly usableSlots: (context: ChoiceContext) => number;
	readonly ownInFlight: () => number;
	/** Requests in flight of all gateways at usable instances. */
	readonly inFlight: (context: ChoiceContext) => number;
	readonly report: (nowMs: number) => DispatchReport;
	readonly hear: (peerId: string, report: DispatchReport, nowMs: number) => void;
	/** How many instances are in which state, for logs and metrics. */
	readonly census: (context: ChoiceContext) => InstanceCensus;
	/** What decides about an instance, for logs. */
	readonly explain: (instanceId: string, nowMs: number) => Readonly<Record<string, unknown>>;
};

type PeerUse = {
	readonly inFlight: number;
	readonly heardAtMs: number;
};

type Member = {
	facts: DispatchInstance;
	trust: InstanceTrust;
	readonly startsMs: Set<Placement>;
	readonly peers: Map<string, PeerUse>;
	/** When this gateway sent it a request last. */
	usedAtMs: number;
	/** When a peer used it last, as far as reports tell. */
	peerUsedAtMs: number;
};

const peerInFlight = (member: Member, nowMs: number): number => {
	let sum = 0;
	for (const [peerId, use] of member.peers) {
		if (nowMs - use.heardAtMs > reportLifetimeMs) {
			member.peers.delete(peerId);
			continue;
		}

		sum += use.inFlight;
	}

	return sum;
};

const inFlightAt = (member: Member, nowMs: number): number => member.startsMs.size + peerInFlight(member, nowMs);

const oldestAgeMs = (member: Member, nowMs: number): number => {
	let oldestMs = 0;
	for (const {startedAtMs} of member.startsMs) {
		oldestMs = Math.max(oldestMs, nowMs - startedAtMs);
	}

	return oldestMs;
};

const lastUseMs = ({usedAtMs, peerUsedAtMs}: Member): number => Math.max(usedAtMs, peerUsedAtMs);

/** When a peer sent a request last, as far as its report tells: one that stays in flight, or ends, was sent before. */
const peerUseMs = (inFlightBefore: number, inFlight: number, goodAgeMs: number | undefined, nowMs: number): number => {
	if (inFlight > inFlightBefore) {
		return nowMs;
	}

	// A request that came and ended between two reports shows in its answer alone.
	return inFlightBefore === 0 && goodAgeMs !== undefined ? nowMs - goodAgeMs : Number.NEGATIVE_INFINITY;
};

/** Negative when `left` has rested longer. */
const compareLastUse = (left: Member, right: Member | undefined): number =>
	right === undefined || lastUseMs(left) === lastUseMs(right) ? 0 : lastUseMs(left) - lastUseMs(right);

const isOverdue = (member: Member, {nowMs, serviceMs}: ChoiceContext): boolean => oldestAgeMs(member, nowMs) > overdueFactor * serviceMs;

/** True when a failure of the next attempt can be mended by another. */
const canRepeat = ({isIdempotent, attemptedIds}: DispatchRequest): boolean => isIdempotent && attemptedIds.length === 0;

/** Creates the pool of a gateway in `dataCentre`. */
export const createInstancePool = (dataCentre: string, random: Random): InstancePool => {
	const members = new Map<string, Member>();
	/** When the first instances became known; those known since then are no news. */
	let firstKnownMs = Number.POSITIVE_INFINITY;
	const leaving = new Map<string, Member>();
	/** When requests were sent, in the last `reachedMs`. */
	let startedAtMs: number[] = [];

	const createMember = (facts: DispatchInstance): Member => ({
		facts, trust: createInstanceTrust(), startsMs: new Set(), peers: new Map(), usedAtMs: Number.NEGATIVE_INFINITY, peerUsedAtMs: Number.NEGATIVE_INFINITY,
	});

	/** True when the instance gets no work for what is known of it: the spread comes back to those that may have recovered. */
	const isLeftOut = ({trust}: Member, {nowMs, isSpread}: ChoiceContext): boolean => trust.isAvoided(nowMs) && !(isSpread && trust.mayHaveRecovered(nowMs));

	/** Avoidance never takes more than a part of the slots: the least suspected instances stay in use. */
	const usableMembers = (context: ChoiceContext): readonly Member[] => {
		const {isSpread} = context;
		const all = [...members.values()];
		const usable = all.filter(member => !isLeftOut(member, context));
		const wantedSlots = (isSpread ? minSpreadUsedShare : minUsedShare) * all.reduce((sum, {facts}) => sum + facts.slots, 0);
		let slots = usable.reduce((sum, {facts}) => sum + facts.slots, 0);
		if (slots >= wantedSlots) {
			return usable;
		}

		const avoided = all
			.filter(member => isLeftOut(member, context))
			.toSorted((left, right) => left.trust.avoidUntilMs() - right.trust.avoidUntilMs());
		for (const member of avoided) {
			if (slots >= wantedSlots) {
				break;
			}

			usable.push(member);
			slots += member.facts.slots;
		}

		return usable;
	};

	/** An instance that has to prove itself gets one request at a time; while work is spread, one that takes long over it gets another after a while. */
	const slotsFor = (member: Member, {nowMs, isSpread}: ChoiceContext): number => {
		const {facts, trust} = member;
		const isWarm = nowMs >= facts.warmAtMs;
		if (isWarm && !trust.needsTrial()) {
			return facts.slots;
		}

		const hasRested = nowMs - lastUseMs(member) > spreadIdleMs;
		return isSpread && hasRested ? Math.min(facts.slots, inFlightAt(member, nowMs) + 1) : 1;
	};

	const isIntroduced = ({facts, trust, usedAtMs}: Member, request: DispatchRequest, nowMs: number): boolean =>
		usedAtMs !== Number.NEGATIVE_INFINITY
		|| !trust.needsTrial()
		|| facts.knownSinceMs <= firstKnownMs
		|| facts.dataCentre !== dataCentre
		|| !(request.isIdempotent || nowMs - facts.knownSinceMs >= introductionDelayMs);

	const spreadIdleMsOf = ({facts}: Member, inFlight: number): number => {
		if (inFlight > 0) {
			return pendingSpreadIdleMs;
		}

		return facts.dataCentre === dataCentre ? spreadIdleMs : remoteSpreadIdleMs;
	};

	/** True when it has rested long enough for the spread of work to reach it next, whether or not it has proved itself. */
	const isSpreadTarget = (member: Member, context: ChoiceContext): boolean => {
		const inFlight = inFlightAt(member, context.nowMs);
		return context.isSpread
			&& context.nowMs - lastUseMs(member) > spreadIdleMsOf(member, inFlight)
			&& inFlight < maxPendingAtTarget
			&& !isLeftOut(member, context)
			&& !isOverdue(member, context);
	};

	/** Work is spread as well while too few instances are reached: requests may turn out lost afterwards, when it is too late to reach others. */
	const spreadWhenShort = (usable: readonly Member[], context: ChoiceContext): ChoiceContext => {
		const {nowMs, serviceMs} = context;
		const wanted = minReachedShare * usable.length;
		const reached = usable.filter(member => nowMs - lastUseMs(member) <= reachedMs).length;
		// What peers send in that time follows from what they have in flight.
		const peerRequests = usable.reduce((sum, member) => sum + peerInFlight(member, nowMs), 0) * reachedMs / serviceMs;
		startedAtMs = startedAtMs.filter(atMs => nowMs - atMs <= reachedMs);
		return reached < wanted && wanted <= maxReachingShare * (startedAtMs.length + peerRequests) ? {...context, isSpread: true} : context;
	};

	const costOf = (member: Member, request: DispatchRequest, context: ChoiceContext): number => {
		const {
			nowMs, isUnplaced,
		} = context;
		const {facts, trust} = member;
		if (isUnplaced) {
			return random.next() + (facts.dataCentre === dataCentre ? 0 : 1);
		}

		// A new instance shows with its first request whether it can be used.
		if (!isIntroduced(member, request, nowMs)) {
			return -1;
		}

		if (isSpreadTarget(member, context)) {
			return facts.dataCentre === dataCentre ? spreadCost : remoteSpreadCost;
		}

		const overdue = isOverdue(member, context) ? overdueRisk : 0;
		const risk = (trust.risk(nowMs) + overdue) * (canRepeat(request) ? idempotentRiskFactor : 1);
		const distance = facts.dataCentre === dataCentre ? 0 : remoteCost + (remoteCostPerMegabyte * request.bodyBytes / bytesPerMegabyte);
		const crowding = crowdingCost * (inFlightAt(member, nowMs) + 1) / facts.slots;
		return risk + distance + crowding;
	};

	/** True when one of the trusted slots becomes free within the time for which a request is patient. */
	const isWorthWaiting = (usable: readonly Member[], {attemptedIds}: DispatchRequest, nowMs: number): boolean => {
		const trusted = usable.filter(({facts, trust}) => trust.risk(nowMs) < patientRisk && !attemptedIds.includes(facts.instanceId));
		return trusted.reduce((sum, {facts}) => sum + facts.slots, 0) * patienceFactor >= 1;
	};

	const forget = (placement: Placement): Member | undefined => {
		const member = members.get(placement.instanceId);
		if (member?.startsMs.delete(placement)) {
			return member;
		}

		const left = leaving.get(placement.instanceId);
		left?.startsMs.delete(placement);
		if (left?.startsMs.size === 0) {
			leaving.delete(placement.instanceId);
		}

		return undefined;
	};

	return {
		setInstances(instances) {
			const ids = new Set(instances.map(({instanceId}) => instanceId));
			for (const [id, member] of members) {
				if (!ids.has(id)) {
					members.delete(id);
					leaving.set(id, member);
				}
			}

			if (members.size === 0 && firstKnownMs === Number.POSITIVE_INFINITY) {
				firstKnownMs = Math.min(...instances.map(({knownSinceMs}) => knownSinceMs));
			}

			for (const facts of instances) {
				const member = members.get(facts.instanceId);
				if (member === undefined) {
					members.set(facts.instanceId, createMember(facts));
					continue;
				}

				if (member.facts.bornAtMs !== facts.bornAtMs) {
					member.trust = createInstanceTrust();
				}

				member.facts = facts;
			}
		},
		take(request, given, isPatient) {
			const {nowMs} = given;
			const usable = usableMembers(given);
			const context = spreadWhenShort(usable, given);
			const avoidsRisk = isPatient && !context.isUnplaced && !canRepeat(request) && isWorthWaiting(usable, request, nowMs);
			let best: Member | undefined;
			let bestCost = Number.POSITIVE_INFINITY;
			let equals = 0;
			for (const member of usable) {
				const isFull = inFlightAt(member, nowMs) >= slotsFor(member, context);
				const isTooRisky = avoidsRisk && !isSpreadTarget(member, context) && isIntroduced(member, request, nowMs) && member.trust.risk(nowMs) >= patientRisk;
				if (isFull || isTooRisky || request.attemptedIds.includes(member.facts.instanceId)) {
					continue;
				}

				const cost = costOf(member, request, context);
				const order = cost === bestCost ? compareLastUse(member, best) : cost - bestCost;
				if (order > 0) {
					continue;
				}

				equals = order === 0 ? equals + 1 : 1;
				// Ties are drawn evenly, so that gateways do not all take the first id.
				if (equals === 1 || random.next() * equals < 1) {
					best = member;
					bestCost = cost;
				}
			}

			if (best === undefined) {
				return undefined;
			}

			const placement: Placement = {instanceId: best.facts.instanceId, startedAtMs: nowMs, isTrial: best.trust.needsTrial()};
			best.startsMs.add(placement);
			startedAtMs.push(nowMs);
			best.usedAtMs = nowMs;
			return placement;
		},
		finish(placement, result, {nowMs, serviceMs}) {
			// A request whose time was short says nothing of the instance when it ends unanswered.
			const isShortWait = result === 'no-answer' && nowMs - placement.startedAtMs < overdueFactor * serviceMs;
			return forget(placement)?.trust.observe(isShortWait ? 'abandoned' : result, placement.startedAtMs, nowMs) ?? false;
		},
		findStalled({nowMs, serviceMs}) {
			const limitMs = Math.max(minStalledMs, stalledFactor * serviceMs);
			return [...members.values()]
				.filter(member => oldestAgeMs(member, nowMs) > limitMs && member.trust.observeStall(nowMs))
				.map(({facts}) => facts.instanceId);
		},
		hasOther: attemptedIds => [...members.keys()].some(id => !attemptedIds.includes(id)),
		usableSlots: context => usableMembers(context).reduce((sum, member) => sum + slotsFor(member, context), 0),
		ownInFlight: () => [...members.values()].reduce((sum, {startsMs}) => sum + startsMs.size, 0),
		inFlight: context => usableMembers(context).reduce((sum, member) => sum + inFlightAt(member, context.nowMs), 0),
		report: nowMs => ({
			instances: [...members.values()].flatMap(({facts, trust, startsMs}) => {
				const goodAtMs = trust.ownGoodAtMs();
				const isGoodRecent = goodAtMs !== undefined && nowMs - goodAtMs < reportLifetimeMs * 2;
				const avoidMs = Math.round(trust.toldAvoidUntilMs() - nowMs);
				if (startsMs.size === 0 && !isGoodRecent && avoidMs <= 0) {
					return [];
				}

				return [{
					instanceId: facts.instanceId,
					inFlight: startsMs.size,
					...(isGoodRecent && {goodAgeMs: Math.round(nowMs - goodAtMs)}),
					...(avoidMs > 0 && {avoidMs}),
				}];
			}),
		}),
		hear(peerId, report, nowMs) {
			for (const {instanceId, inFlight, goodAgeMs, avoidMs} of report.instances) {
				const member = members.get(instanceId);
				if (member === undefined) {
					continue;
				}

				const inFlightBefore = member.peers.get(peerId)?.inFlight ?? 0;
				if (inFlight > 0) {
					member.peers.set(peerId, {inFlight, heardAtMs: nowMs});
				} else {
					member.peers.delete(peerId);
				}

				member.peerUsedAtMs = Math.max(member.peerUsedAtMs, peerUseMs(inFlightBefore, inFlight, goodAgeMs, nowMs));
				member.trust.hear(goodAgeMs === undefined ? undefined : nowMs - goodAgeMs, avoidMs === undefined ? undefined : nowMs + avoidMs, nowMs);
			}
		},
		census({nowMs}) {
			const all = [...members.values()];
			const open = all.filter(({trust}) => !trust.isAvoided(nowMs));
			return {
				known: all.length,
				avoided: all.length - open.length,
				awaitingTrial: open.filter(({trust}) => trust.needsTrial()).length,
				rested: open.filter(({usedAtMs}) => nowMs - usedAtMs > spreadIdleMs).length,
			};
		},
		explain(instanceId, nowMs) {
			const member = members.get(instanceId);
			if (member === undefined) {
				return {known: false};
			}

			return {
				dataCentre: member.facts.dataCentre,
				own: member.startsMs.size,
				peers: peerInFlight(member, nowMs),
				slots: member.facts.slots,
				risk: Number(member.trust.risk(nowMs).toFixed(3)),
			};
		},
	};
};
