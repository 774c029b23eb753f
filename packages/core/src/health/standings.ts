/** Computes the standing of each instance of a service at one entry, subject to the floor. */

import {proofLifetimeMs} from './constants.ts';
import {chooseEjected, ejectionOrder, floorCount} from './floor.ts';
import type {ScoreSteps} from './likelihood.ts';
import {slowStartWeightAt, type TrackedInstance} from './tracked-instance.ts';
import type {Standing} from './types.ts';

/** Own failures, less the weight of successes between them, at which an entry spares an instance before the entries agree. */
const minOwnFailures = 1.2;

/** Input of the standings besides the instances. */
export type StandingsInput = {
	readonly service: string;
	readonly entryId: string;
	readonly floorShare: number;
	readonly threshold: number;
	readonly steps: ScoreSteps;
	readonly isLeaving: (instanceId: string) => boolean;
	readonly isFreshPeer: (entryId: string) => boolean;
	/** True once every fresh peer has received the claim made in `round`. */
	readonly isAcknowledged: (round: number) => boolean;
	/** Round of the next report. */
	readonly nextRound: number;
	readonly nowMs: number;
};

/** True if this entry or a fresh peer has seen a recent success. */
export const isProven = (tracked: TrackedInstance, {isFreshPeer, nowMs}: Pick<StandingsInput, 'isFreshPeer' | 'nowMs'>): boolean => {
	const isRecent = (atMs: number): boolean => nowMs - atMs <= proofLifetimeMs;
	const ownAtMs = tracked.successLog.lastSuccessAtMs();
	return (ownAtMs !== undefined && isRecent(ownAtMs))
		|| [...tracked.peerProofs].some(([entryId, atMs]) => isFreshPeer(entryId) && isRecent(atMs));
};

/** Chooses which of the instances that fail for this entry only are avoided; the others are spared. */
const chooseAvoided = (input: StandingsInput, listed: readonly TrackedInstance[], ejected: ReadonlySet<string>): ReadonlySet<string> => {
	const floor = floorCount(listed.length, input.floorShare);
	const localOutageIds = listed.filter(tracked => tracked.localOutage && !ejected.has(tracked.instance.hostId)).map(tracked => tracked.instance.hostId);
	const room = Math.max(0, listed.length - ejected.size - floor);
	return new Set(ejectionOrder(input.service, localOutageIds).slice(0, room));
};

const standingOf = (tracked: TrackedInstance, input: StandingsInput, chosen: {readonly ejected: ReadonlySet<string>; readonly avoided: ReadonlySet<string>}): Standing => {
	const instanceId = tracked.instance.hostId;
	if (input.isLeaving(instanceId)) {
		return {kind: 'leaving'};
	}

	if (chosen.ejected.has(instanceId)) {
		return {kind: 'ejected'};
	}

	if (chosen.avoided.has(instanceId)) {
		return {kind: 'avoided'};
	}

	const fails = tracked.pooled.valueWith(input.steps) >= input.threshold && tracked.pooled.weightOf(input.entryId, input.steps) >= minOwnFailures * input.steps.failed;
	const isFailing = tracked.outage !== undefined || tracked.localOutage !== undefined;
	if (isFailing || fails) {
		return {kind: 'spared'};
	}

	return {kind: 'use', weight: slowStartWeightAt(tracked.returnedAtMs, input.nowMs)};
};

/** Updates the claims of this entry: the instances that it ejects once its peers know of the claim. */
const updateClaims = (listed: readonly TrackedInstance[], input: StandingsInput): void => {
	const isClaimedByPeer = ({peerClaims}: TrackedInstance): boolean => [...peerClaims].some(peerId => input.isFreshPeer(peerId));
	const idsWhere = (test: (tracked: TrackedInstance) => boolean): readonly string[] =>
		listed.filter(tracked => test(tracked)).map(({instance}) => instance.hostId);
	const chosen = chooseEjected({
		service: input.service,
		listed: idsWhere(() => true),
		failing: new Set(idsWhere(({outage}) => outage !== undefined)),
		proven: new Set(idsWhere(tracked => isProven(tracked, input))),
		claimed: new Set(idsWhere(isClaimedByPeer)),
		floorShare: input.floorShare,
	});
	for (const tracked of listed) {
		const isChosen = chosen.has(tracked.instance.hostId);
		if (isChosen !== (tracked.claimedRound !== undefined)) {
			tracked.claimedRound = isChosen ? input.nextRound : undefined;
			tracked.changedRound = input.nextRound;
		}
	}
};

/** Computes the standing of every instance and updates the claims of this entry. */
export const computeStandings = (instances: readonly TrackedInstance[], input: StandingsInput): ReadonlyMap<string, Standing> => {
	const listed = instances.filter(({instance}) => !input.isLeaving(instance.hostId));
	updateClaims(listed, input);
	const ejected = new Set(listed
		.filter(({claimedRound}) => claimedRound !== undefined && input.isAcknowledged(claimedRound))
		.map(({instance}) => instance.hostId));
	const avoided = chooseAvoided(input, listed, ejected);
	return new Map(instances.map(tracked => [tracked.instance.hostId, standingOf(tracked, input, {ejected, avoided})]));
};
