/**
 * Estimates the use of a workspace over all gateways, and what one of them may admit.
 *
 * Answers splits and lost messages: a peer that callers are sent to and that is silent is taken to admit its static share, so that
 * gateways which don't hear each other stay below the ceiling together. A gateway that has just started takes it that the whole
 * fleet was at its limit before, as far as no peer can tell.
 */

import type {Ceilings} from './ceilings.ts';
import {strayShare} from './constants.ts';
import type {PeerUse} from './peer-use.ts';
import type {QuotaFleet} from './types.ts';

/** What a gateway may admit, and why. */
export type FleetUse = {
	/** Requests within the window that this gateway may have admitted. */
	readonly allowed: number;
	/** Estimated use by others, earlier runs included. */
	readonly reported: number;
	/** What is kept free for silent peers. */
	readonly reserved: number;
	/** What this gateway may admit while it hears from nobody. */
	readonly staticShare: number;
	/** Gateways that admit requests at present, this one included. */
	readonly busy: number;
};

/** What the estimate is made of. */
export type FleetUseOptions = {
	readonly ceilings: Ceilings;
	readonly fleet: QuotaFleet;
	readonly peers: PeerUse;
	readonly windowMs: number;
	/** For how long this gateway has run. */
	readonly upMs: number;
	/** Age of its last report from which on a peer is silent. */
	readonly silentMs: number;
};

/** Number of gateways that share a limit. */
const sharing = ({placedPeerIds, isPlaced, unknownPeers}: QuotaFleet): number => Math.max(1, placedPeerIds.length + Number(isPlaced) + unknownPeers);

/** What all gateways that this one can reach may admit. */
const reachableCap = ({
	ceilings: {target, ceiling}, fleet: {reachShare}, peers, windowMs, upMs, silentMs,
}: FleetUseOptions, nowMs: number): number => {
	const remembersMs = upMs >= windowMs ? windowMs : Math.max(upMs, peers.longestUpMs(silentMs, nowMs));
	const unknownUse = target * Math.max(0, 1 - (remembersMs / windowMs));
	return Math.min(target, ceiling - unknownUse) * reachShare;
};

/** What a gateway may admit that has not heard of any use by others. */
export const staticShareOf = (options: FleetUseOptions, nowMs: number): number =>
	reachableCap(options, nowMs) / sharing(options.fleet) * (options.fleet.isPlaced ? 1 : strayShare);

/** Estimates the use over all gateways. */
export const estimateFleetUse = (options: FleetUseOptions, nowMs: number): FleetUse => {
	const {fleet: {placedPeerIds, isPlaced, unknownPeers}, peers, silentMs} = options;
	const cap = reachableCap(options, nowMs);
	const share = cap / sharing(options.fleet);
	const staticShare = isPlaced ? share : share * strayShare;
	let reported = peers.former(nowMs).count;
	let busy = 1;
	for (const id of peers.ids()) {
		reported += peers.of(id, nowMs);
		busy += Number(peers.ageMs(id, nowMs) <= silentMs && peers.isBusy(id));
	}

	let reserved = share * unknownPeers;
	for (const id of placedPeerIds) {
		if (peers.ageMs(id, nowMs) > silentMs) {
			reserved += Math.max(0, share - peers.of(id, nowMs));
		}
	}

	const left = cap - reported;
	return {
		allowed: isPlaced ? left - reserved : Math.max(left - reserved, Math.min(staticShare, left)), reported, reserved, staticShare, busy,
	};
};
