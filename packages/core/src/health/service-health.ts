/**
 * The health of the instances of one service, as seen by one entry.
 *
 * Combines the scores, the reports of the peers, the trial requests and the floor into one standing per instance.
 */

import type {Instance} from '../platform/types.ts';
import {createBaseline} from './baseline.ts';
import {
	majorityWaitMs, pauseGapMs, probeFailureWeight, maxProbeScoreShare, probeSuccessWeight, proofLifetimeMs, repeatRounds, replyWaitMs, reportIntervalMs,
	slowStartMs, trialIntervalMs, urgentReportIntervalMs, fullReportRounds,
} from './constants.ts';
import {floorCount} from './floor.ts';
import {createLeavingRegister} from './leaving.ts';
import type {InstanceScore} from './instance-score.ts';
import {alarmThreshold, failureShares, scoreSteps} from './likelihood.ts';
import {createLatencyWindow, lowerMedian} from './median.ts';
import {createPeerTable, type PeerDelta} from './peers.ts';
import {findStalled, type InFlightRequest} from './stalls.ts';
import {computeStandings, isProven} from './standings.ts';
import {
	addToOutage, isOutageOver, startOutage, trackInstance, type TrackedInstance,
} from './tracked-instance.ts';
import type {
	EvidenceReport, Explanation, HealthEvent, InstanceEvidence, Observation, Standing,
} from './types.ts';

const urgentScoreShare = 0.5;
const minObservers = 2;
/** Share of the threshold at which the median score indicates a failure of the whole service. */
const serviceWideShare = 0.5;

/** The settings of a service that affect health decisions. */
export type HealthRules = {
	readonly floorShare: number;
	readonly falseEjectionsPerInstanceDay: number;
	readonly stallThresholdMs: number;
};

/** Identifies the observing entry and the service. */
export type ServiceHealthConfig = {
	readonly service: string;
	readonly entryId: string;
	readonly incarnation: number;
	readonly rules: HealthRules;
};

/** A request in flight. */
export type HealthAttempt = {
	/** Records that data moved in either direction. */
	readonly progress: (nowMs: number) => void;
	/** Ends the attempt with its observation; further calls have no effect. */
	readonly finish: (observation: Observation, nowMs: number) => void;
};

/** Health of one service at one entry. All times are on the entry's own clock. */
export type ServiceHealth = {
	readonly setRules: (rules: HealthRules) => void;
	readonly setInstances: (instances: readonly Instance[], sequence: number, nowMs: number) => void;
	readonly begin: (instanceId: string, nowMs: number) => HealthAttempt;
	readonly observe: (instanceId: string, observation: Observation, nowMs: number) => void;
	readonly markLeaving: (instanceId: string, nowMs: number) => void;
	readonly markReady: (instanceId: string, nowMs: number) => void;
	/** Detects stalls and pauses and updates the standings; to be called about every 100 ms. */
	readonly tick: (nowMs: number) => void;
	readonly receive: (report: EvidenceReport, nowMs: number) => void;
	readonly isReportDue: (nowMs: number) => boolean;
	readonly report: (nowMs: number) => EvidenceReport;
	readonly standing: (instanceId: string) => Standing | undefined;
	/** An instance that is due for a trial; the caller must send it an idempotent request now. */
	readonly nextTrial: (nowMs: number) => string | undefined;
	readonly explain: (instanceId: string, nowMs: number) => Explanation | undefined;
	/** Returns the changes of standing since the last call. */
	readonly takeEvents: () => readonly HealthEvent[];
};

/** Creates the health of a service at `startMs`. */
export const createServiceHealth = (config: ServiceHealthConfig, startMs: number): ServiceHealth => {
	const {service, entryId} = config;
	const instances = new Map<string, TrackedInstance>();
	const inFlight = new Set<InFlightRequest>();
	const peers = createPeerTable(entryId, config.incarnation);
	const leaving = createLeavingRegister();
	const baseline = createBaseline(startMs);
	const latencies = createLatencyWindow();
	let {rules} = config;
	let events: HealthEvent[] = [];
	let round = 0;
	let reportedAtMs = -Infinity;
	let isUrgent = false;
	let isFullReportDue = true;
	let tickedAtMs = startMs;
	/** Failures of attempts that started earlier may be caused by a pause of this process and are ignored. */
	let trustedFromMs = -Infinity;
	let ownActivityAtMs = -Infinity;
	let steps = scoreSteps(failureShares(0));
	let threshold = alarmThreshold(rules.falseEjectionsPerInstanceDay, 0);

	const updateBaseline = (nowMs: number): void => {
		baseline.decay(nowMs);
		steps = scoreSteps(failureShares(baseline.failureShare()));
		threshold = alarmThreshold(rules.falseEjectionsPerInstanceDay, baseline.observationsPerSecond(nowMs));
	};

	const addToScores = (tracked: TrackedInstance, from: string, counts: {readonly succeeded: number; readonly failed: number}, nowMs: number): void => {
		const {succeeded, failed} = counts;
		const isOwn = from === entryId;
		baseline.add(tracked.instance.hostId, succeeded, failed);
		if (tracked.outage) {
			addToOutage(tracked.outage, {entryId: from, succeeded, failed}, entryId, nowMs);
		} else {
			const wasZero = tracked.pooled.value() === 0;
			tracked.pooled.add({entryId: from, succeeded, failed}, steps, nowMs);
			tracked.roseRound = wasZero ? round + 1 : tracked.roseRound;
		}

		if (isOwn && tracked.localOutage) {
			addToOutage(tracked.localOutage, {entryId, succeeded, failed}, entryId, nowMs);
		} else if (isOwn && !tracked.outage) {
			tracked.local.add({entryId: from, succeeded, failed}, steps, nowMs);
		}

		isUrgent ||= failed > 0 && tracked.pooled.value() >= urgentScoreShare * threshold;
	};

	const addOwn = (tracked: TrackedInstance, succeeded: number, failed: number, nowMs: number): void => {
		tracked.succeeded += succeeded;
		tracked.failed += failed;
		tracked.changedRound = round + 1;
		ownActivityAtMs = nowMs;
		addToScores(tracked, entryId, {succeeded, failed}, nowMs);
	};

	const addFailure = (tracked: TrackedInstance, startedAtMs: number, nowMs: number): void => {
		if (startedAtMs < trustedFromMs) {
			return;
		}

		tracked.successLog.recordFailure(nowMs);
		addOwn(tracked, 0, 1, nowMs);
		updateStandings(nowMs);
	};

	const addProbeFailure = (tracked: TrackedInstance, nowMs: number): void => {
		if (tracked.pooled.value() < maxProbeScoreShare * threshold && !tracked.outage) {
			addOwn(tracked, 0, probeFailureWeight, nowMs);
		}
	};

	const observe = (instanceId: string, observation: Observation, nowMs: number): void => {
		const tracked = instances.get(instanceId);
		if (!tracked) {
			return;
		}

		switch (observation.kind) {
			case 'succeeded': {
				latencies.add(observation.latencyMs);
				tracked.successLog.recordSuccess(nowMs);
				addOwn(tracked, 1, 0, nowMs);
				break;
			}

			case 'failed':
			case 'connect-failed':
			case 'stalled': {
				addFailure(tracked, observation.startedAtMs, nowMs);
				break;
			}

			case 'probe-succeeded': {
				addOwn(tracked, probeSuccessWeight, 0, nowMs);
				break;
			}

			case 'probe-failed': {
				addProbeFailure(tracked, nowMs);
				break;
			}

			case 'neutral': {
				break;
			}
		}
	};

	const begin = (instanceId: string, nowMs: number): HealthAttempt => {
		const request: InFlightRequest = {
			instanceId, startedAtMs: nowMs, progressAtMs: nowMs, stallCount: 0,
		};
		inFlight.add(request);
		return {
			progress(atMs) {
				request.progressAtMs = atMs;
			},
			finish(observation, atMs) {
				if (inFlight.delete(request) && request.stallCount === 0) {
					observe(instanceId, observation, atMs);
				}
			},
		};
	};

	/** True if the entries that use the service agree that the instance fails for all of them. */
	const isFailingForAll = (tracked: TrackedInstance, nowMs: number): boolean => {
		const active = peers.activePeerIds(nowMs);
		const observerCount = active.length + (nowMs - ownActivityAtMs <= proofLifetimeMs ? 1 : 0);
		const failingCount = tracked.pooled.failingAt(steps).length;
		const isOutvoted = failingCount <= tracked.pooled.workingCount(steps);
		if (failingCount < Math.min(minObservers, observerCount) || isOutvoted || tracked.pooled.isContradicted(steps)) {
			return false;
		}

		const waitedMs = nowMs - (tracked.pooled.roseAtMs() ?? nowMs);
		if (failingCount <= observerCount / 2 && waitedMs < majorityWaitMs) {
			return false;
		}

		return waitedMs >= replyWaitMs || active.every(peerId => peers.heardRoundOf(peerId) >= tracked.roseRound);
	};

	const beginOutage = (tracked: TrackedInstance, number: number, roseAtMs: number, nowMs: number): void => {
		tracked.outageNumber = number;
		tracked.outage = startOutage(tracked.outageHold, {entryId, roseAtMs}, nowMs);
		tracked.localOutage = undefined;
		tracked.local.reset();
		tracked.changedRound = round + 1;
		isUrgent = true;
	};

	const endOutage = (tracked: TrackedInstance, nowMs: number): void => {
		tracked.outage = undefined;
		tracked.pooled.reset();
		tracked.local.reset();
		tracked.returnedAtMs = nowMs;
		tracked.changedRound = round + 1;
		isUrgent = true;
	};

	/** True if the score exceeds the median by the threshold and the service as a whole is not failing. */
	const isOutlier = (score: InstanceScore, medianScore: number): boolean =>
		medianScore < serviceWideShare * threshold && score.valueWith(steps) - medianScore >= threshold;

	const updateOutage = (tracked: TrackedInstance, medianScore: number, nowMs: number): void => {
		if (tracked.outage) {
			if (isOutageOver(tracked.outage, nowMs)) {
				endOutage(tracked, nowMs);
			}

			return;
		}

		if (isOutlier(tracked.pooled, medianScore) && isFailingForAll(tracked, nowMs)) {
			beginOutage(tracked, tracked.outageNumber + 1, tracked.pooled.roseAtMs() ?? nowMs, nowMs);
		}
	};

	const updateLocalOutage = (tracked: TrackedInstance, medianScore: number, nowMs: number): void => {
		if (tracked.localOutage && isOutageOver(tracked.localOutage, nowMs)) {
			tracked.localOutage = undefined;
			tracked.local.reset();
			tracked.returnedAtMs = nowMs;
			return;
		}

		if (!tracked.localOutage && !tracked.outage && isOutlier(tracked.local, medianScore)) {
			tracked.localOutage = startOutage(tracked.localOutageHold, {entryId, roseAtMs: tracked.local.roseAtMs() ?? nowMs}, nowMs);
			isUrgent = true;
		}
	};

	const listed = (): readonly TrackedInstance[] =>
		[...instances.values()].filter(({instance}) => !leaving.isLeaving(instance.hostId));

	const medianScores = (): {readonly pooled: number; readonly local: number} => ({
		pooled: lowerMedian(listed().map(({pooled}) => pooled.value())),
		local: lowerMedian(listed().map(({local}) => local.value())),
	});

	const setStanding = (tracked: TrackedInstance, standing: Standing, nowMs: number): void => {
		const from = tracked.standing.kind;
		tracked.standing = standing;
		if (from === standing.kind) {
			return;
		}

		const roseAtMs = tracked.outage?.roseAtMs ?? tracked.localOutage?.roseAtMs;
		events.push({
			instanceId: tracked.instance.hostId,
			from,
			to: standing.kind,
			atMs: nowMs,
			...(roseAtMs !== undefined && {sinceFirstFailureMs: nowMs - roseAtMs}),
		});
	};

	function updateStandings(nowMs: number): void {
		const medians = medianScores();
		for (const tracked of instances.values()) {
			updateOutage(tracked, medians.pooled, nowMs);
			updateLocalOutage(tracked, medians.local, nowMs);
		}

		const fresh = peers.freshPeerIds(nowMs);
		const standings = computeStandings([...instances.values()], {
			service,
			entryId,
			floorShare: rules.floorShare,
			threshold,
			steps,
			isLeaving: leaving.isLeaving,
			isFreshPeer: peerId => peers.isFresh(peerId, nowMs),
			isAcknowledged: claimedRound => fresh.every(peerId => peers.heardRoundOf(peerId) >= claimedRound),
			nextRound: round + 1,
			nowMs,
		});
		isUrgent ||= [...instances.values()].some(({changedRound, claimedRound}) => claimedRound === round + 1 && changedRound === round + 1);
		for (const tracked of instances.values()) {
			setStanding(tracked, standings.get(tracked.instance.hostId) ?? tracked.standing, nowMs);
		}
	}

	const detectPause = (nowMs: number): void => {
		if (nowMs - tickedAtMs > pauseGapMs) {
			trustedFromMs = nowMs;
			peers.resetFreshness();
			for (const request of inFlight) {
				request.progressAtMs = nowMs;
			}
		}

		tickedAtMs = nowMs;
	};

	const applyPeerOutage = (tracked: TrackedInstance, evidence: InstanceEvidence, nowMs: number): void => {
		const {spell: number, spellEnded} = evidence;
		if (number < tracked.outageNumber) {
			return;
		}

		if (number === tracked.outageNumber) {
			if (spellEnded && tracked.outage) {
				endOutage(tracked, nowMs);
			}

			return;
		}

		const roseAtMs = nowMs - (evidence.riseAgeMs ?? 0);
		if (!spellEnded && !tracked.successLog.contradictsFailureSince(roseAtMs) && !tracked.pooled.isContradicted(steps)) {
			beginOutage(tracked, number, roseAtMs, nowMs);
			return;
		}

		tracked.outageNumber = number;
		endOutage(tracked, nowMs);
	};

	const applyDelta = (peerId: string, {evidence, succeeded, failed, provenAtMs}: PeerDelta, nowMs: number): void => {
		const tracked = instances.get(evidence.instanceId);
		if (!tracked) {
			return;
		}

		if (evidence.leavingSequence !== undefined) {
			leaving.applyPeerReport(tracked.instance, evidence.leavingSequence, nowMs);
		}

		if (evidence.claimed) {
			isUrgent ||= !tracked.peerClaims.has(peerId);
			tracked.peerClaims.add(peerId);
		} else {
			tracked.peerClaims.delete(peerId);
		}

		if (provenAtMs !== undefined) {
			tracked.peerProofs.set(peerId, Math.max(provenAtMs, tracked.peerProofs.get(peerId) ?? -Infinity));
		}

		if (succeeded + failed > 0) {
			addToScores(tracked, peerId, {succeeded, failed}, nowMs);
		}

		applyPeerOutage(tracked, evidence, nowMs);
	};

	const evidenceOf = (tracked: TrackedInstance, nowMs: number): InstanceEvidence => {
		const successAtMs = tracked.successLog.lastSuccessAtMs();
		const leavingSequence = leaving.sequenceOf(tracked.instance.hostId);
		return {
			instanceId: tracked.instance.hostId,
			succeeded: tracked.succeeded,
			failed: tracked.failed,
			...(successAtMs !== undefined && nowMs - successAtMs <= proofLifetimeMs && {successAgeMs: nowMs - successAtMs}),
			spell: tracked.outageNumber,
			spellEnded: !tracked.outage,
			claimed: tracked.claimedRound !== undefined,
			...(tracked.outage && {riseAgeMs: nowMs - tracked.outage.roseAtMs}),
			...(leavingSequence !== undefined && {leavingSequence}),
		};
	};

	const hasEvidence = ({succeeded, failed, outageNumber, instance}: TrackedInstance): boolean =>
		succeeded + failed + outageNumber > 0 || leaving.isLeaving(instance.hostId);

	const isTrialDue = (tracked: TrackedInstance, nowMs: number): boolean => {
		const {kind} = tracked.standing;
		const holdUntilMs = (tracked.outage ?? tracked.localOutage)?.holdUntilMs ?? -Infinity;
		return (kind === 'ejected' || kind === 'spared' || kind === 'avoided')
			&& nowMs >= holdUntilMs
			&& nowMs - tracked.lastTrialAtMs >= trialIntervalMs
			&& ![...inFlight].some(({instanceId}) => instanceId === tracked.instance.hostId);
	};

	const reasonOf = (tracked: TrackedInstance, medianScore: number): string => {
		const {kind} = tracked.standing;
		switch (kind) {
			case 'use': {
				return tracked.pooled.value() === 0 ? 'no sign of failure' : 'some failures, below the threshold or not confirmed by a second entry';
			}

			case 'spared': {
				return medianScore > 0 && !tracked.outage
					? 'failing, but so is most of the service'
					: 'failing, but kept: the floor of instances with fresh proof of health would not be held';
			}

			case 'avoided': {
				return 'fails from this entry only; other entries reach it or have no evidence';
			}

			case 'ejected': {
				return 'fails from the entries that use it, and the floor is held without it';
			}

			case 'leaving': {
				return 'the host list, the instance or another entry says that it is leaving';
			}
		}
	};

	return {
		setRules(next) {
			rules = next;
		},
		setInstances(next, sequence, nowMs) {
			const isFirst = instances.size === 0;
			const keep = new Set(next.map(({hostId}) => hostId));
			for (const instanceId of instances.keys()) {
				if (!keep.has(instanceId)) {
					instances.delete(instanceId);
				}
			}

			for (const instance of next) {
				const known = instances.get(instance.hostId);
				if (known?.instance.address === instance.address && known.instance.port === instance.port) {
					known.instance = instance;
				} else {
					instances.set(instance.hostId, trackInstance(instance, isFirst ? nowMs - slowStartMs : nowMs));
				}
			}

			baseline.retain(keep);
			leaving.applyHostList(next, sequence, nowMs);
			updateStandings(nowMs);
		},
		begin,
		observe,
		markLeaving(instanceId, nowMs) {
			const tracked = instances.get(instanceId);
			if (!tracked) {
				return;
			}

			leaving.markLeaving(tracked.instance, nowMs);
			tracked.changedRound = round + 1;
			isUrgent = true;
			updateStandings(nowMs);
		},
		markReady(instanceId, nowMs) {
			leaving.markReady(instanceId, nowMs);
			updateStandings(nowMs);
		},
		tick(nowMs) {
			detectPause(nowMs);
			updateBaseline(nowMs);
			peers.expire(nowMs);
			const found = findStalled(inFlight, {
				instanceIds: [...instances.keys()], stallThresholdMs: rules.stallThresholdMs, medianLatencyMs: latencies.medianMs(),
			}, nowMs);
			for (const {instanceId, startedAtMs} of found) {
				observe(instanceId, {kind: 'stalled', startedAtMs}, nowMs);
			}

			updateStandings(nowMs);
		},
		receive(report, nowMs) {
			if (report.service !== service) {
				return;
			}

			const isNewPeer = !peers.heard().some(heard => heard.entryId === report.entryId && heard.incarnation === report.incarnation);
			isFullReportDue ||= isNewPeer;
			for (const delta of peers.receive(report, nowMs)) {
				applyDelta(report.entryId, delta, nowMs);
			}

			updateStandings(nowMs);
		},
		isReportDue: nowMs => nowMs - reportedAtMs >= (isUrgent ? urgentReportIntervalMs : reportIntervalMs),
		report(nowMs) {
			round++;
			const isFullReport = isFullReportDue || round % fullReportRounds === 0;
			const changed = [...instances.values()].filter(tracked =>
				hasEvidence(tracked) && (isFullReport || tracked.outage !== undefined || tracked.changedRound > round - repeatRounds));
			peers.recordSent(round, nowMs);
			reportedAtMs = nowMs;
			isUrgent = false;
			isFullReportDue = false;
			return {
				service,
				entryId,
				incarnation: config.incarnation,
				round,
				heard: peers.heard(),
				whole: isFullReport,
				instances: changed.map(tracked => evidenceOf(tracked, nowMs)),
			};
		},
		standing: instanceId => instances.get(instanceId)?.standing,
		nextTrial(nowMs) {
			const tracked = [...instances.values()].find(some => isTrialDue(some, nowMs));
			if (tracked) {
				tracked.lastTrialAtMs = nowMs;
			}

			return tracked?.instance.hostId;
		},
		explain(instanceId, nowMs) {
			const tracked = instances.get(instanceId);
			if (!tracked) {
				return undefined;
			}

			const medianScore = medianScores().pooled;
			const holdUntilMs = (tracked.outage ?? tracked.localOutage)?.holdUntilMs;
			const isFreshPeer = (peerId: string): boolean => peers.isFresh(peerId, nowMs);
			return {
				instanceId,
				standing: tracked.standing,
				score: tracked.pooled.value(),
				localScore: tracked.local.value(),
				threshold,
				medianScore,
				failingAt: tracked.pooled.failingAt(steps),
				listedCount: listed().length,
				provenCount: listed().filter(some => isProven(some, {isFreshPeer, nowMs})).length,
				floorCount: floorCount(listed().length, rules.floorShare),
				...(holdUntilMs !== undefined && {holdUntilMs}),
				reason: reasonOf(tracked, medianScore),
			};
		},
		takeEvents() {
			const taken = events;
			events = [];
			return taken;
		},
	};
};
