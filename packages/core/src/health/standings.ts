/** The standing of each instance of a service at one entry, with the floor held. */

import {proofMs} from './constants.ts';
import {chooseEjected, ejectionOrder, floorCount} from './floor.ts';
import type {ScoreSteps} from './likelihood.ts';
import {slowStartWeightAt, type TrackedInstance} from './tracked-instance.ts';
import type {Standing} from './types.ts';

/** Own failures, nearly in a row, by which an entry spares an instance before the entries have agreed. */
const ownFailures = 1.2;

/** What the standings depend on besides the instances. */
export type StandingsInput = {
	readonly service: string;
	readonly entryId: string;
	readonly floorShare: number;
	readonly threshold: number;
	readonly steps: ScoreSteps;
	readonly isLeaving: (instanceId: string) => boolean;
	readonly isFreshPeer: (entryId: string) => boolean;
	/** True once every peer that is heard from knows of the claim made in `round`. */
	readonly isHeard: (round: number) => boolean;
	/** Round of the next report. */
	readonly nextRound: number;
	readonly nowMs: number;
};

/** True if this entry or a peer that is heard from saw a success lately. */
export const isProven = (tracked: TrackedInstance, {isFreshPeer, nowMs}: Pick<StandingsInput, 'isFreshPeer' | 'nowMs'>): boolean => {
	const isRecent = (atMs: number): boolean => nowMs - atMs <= proofMs;
	const ownAtMs = tracked.log.lastSuccessAtMs();
	return (ownAtMs !== undefined && isRecent(ownAtMs))
		|| [...tracked.peerProofs].some(([entryId, atMs]) => isFreshPeer(entryId) && isRecent(atMs));
};

/** Chooses which of the instances that only this entry can't use are avoided; the others are spared. */
const chooseAvoided = (input: StandingsInput, listed: readonly TrackedInstance[], ejected: ReadonlySet<string>): ReadonlySet<string> => {
	const floor = floorCount(listed.length, input.floorShare);
	const cut = listed.filter(tracked => tracked.cut && !ejected.has(tracked.instance.hostId)).map(tracked => tracked.instance.hostId);
	const room = Math.max(0, listed.length - ejected.size - floor);
	return new Set(ejectionOrder(input.service, cut).slice(0, room));
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

	const fails = tracked.pooled.valueWith(input.steps) >= input.threshold && tracked.pooled.weightOf(input.entryId, input.steps) >= ownFailures * input.steps.failed;
	const isFailing = tracked.spell !== undefined || tracked.cut !== undefined;
	if (isFailing || fails) {
		return {kind: 'spared'};
	}

	return {kind: 'use', weight: slowStartWeightAt(tracked.returnedAtMs, input.nowMs)};
};

/** Renews the claims of this entry: the instances that it may eject once its peers know. */
const renewClaims = (listed: readonly TrackedInstance[], input: StandingsInput): void => {
	const isClaimedByPeer = ({peerClaims}: TrackedInstance): boolean => [...peerClaims].some(peerId => input.isFreshPeer(peerId));
	const idsWhere = (test: (tracked: TrackedInstance) => boolean): readonly string[] =>
		listed.filter(tracked => test(tracked)).map(({instance}) => instance.hostId);
	const chosen = chooseEjected({
		service: input.service,
		listed: idsWhere(() => true),
		failing: new Set(idsWhere(({spell}) => spell !== undefined)),
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

/** Computes the standing of every instance, and renews the claims of this entry. */
export const computeStandings = (instances: readonly TrackedInstance[], input: StandingsInput): ReadonlyMap<string, Standing> => {
	const listed = instances.filter(({instance}) => !input.isLeaving(instance.hostId));
	renewClaims(listed, input);
	const ejected = new Set(listed
		.filter(({claimedRound}) => claimedRound !== undefined && input.isHeard(claimedRound))
		.map(({instance}) => instance.hostId));
	const avoided = chooseAvoided(input, listed, ejected);
	return new Map(instances.map(tracked => [tracked.instance.hostId, standingOf(tracked, input, {ejected, avoided})]));
};
