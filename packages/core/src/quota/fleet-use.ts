/**
 * Estimates the use of a workspace over all gateways, and what one of them may admit.
 *
 * Answers splits and lost messages: a peer that callers are sent to and that is silent is taken to admit its static share, so that
 * gateways which don't hear each other stay below the ceiling together. A gateway that has just started, or that callers have just been
 * sent to, takes it that the whole fleet was at its limit before, as far as no peer can tell.
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
	/** For how long it was told of use by others. */
	readonly memoryMs: number;
	/** Age of its last report from which on a peer is silent. */
	readonly silentMs: number;
};

/** Number of gateways that share a limit. */
const sharing = ({placedPeerIds, isPlaced, unknownPeers}: QuotaFleet): number => Math.max(1, placedPeerIds.length + Number(isPlaced) + unknownPeers);

/**
 * What all gateways that this one can reach may admit when use is known for `knownMs`. Others may have gone on at the limit until they
 * noticed that an earlier run of this gateway was silent.
 */
const reachableCap = ({
	ceilings: {target, ceiling}, fleet: {reachShare}, windowMs, silentMs,
}: FleetUseOptions, knownMs: number): number => {
	const unknownUse = knownMs >= windowMs ? 0 : target * Math.min(1, 1 - ((knownMs - silentMs) / windowMs));
	return Math.min(target, ceiling - unknownUse) * reachShare;
};

const knownMsOf = ({
	peers, windowMs, memoryMs, silentMs,
}: FleetUseOptions, nowMs: number): number => memoryMs >= windowMs ? windowMs : Math.max(memoryMs, peers.longestMemoryMs(silentMs, nowMs));

/** What a gateway may admit that callers are not sent to, and that hears of no use by others. */
const strayShareOf = (options: FleetUseOptions): number => reachableCap(options, options.upMs) / sharing(options.fleet) * strayShare;

/** What a gateway may admit that has not heard of any use by others. */
export const staticShareOf = (options: FleetUseOptions, nowMs: number): number =>
	options.fleet.isPlaced ? reachableCap(options, knownMsOf(options, nowMs)) / sharing(options.fleet) : strayShareOf(options);

/** Estimates the use over all gateways. */
export const estimateFleetUse = (options: FleetUseOptions, nowMs: number): FleetUse => {
	const {fleet: {placedPeerIds, isPlaced, unknownPeers}, peers, silentMs} = options;
	const cap = reachableCap(options, knownMsOf(options, nowMs));
	const share = cap / sharing(options.fleet);
	const staticShare = isPlaced ? share : strayShareOf(options);
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
		allowed: isPlaced ? left - reserved : Math.max(left - reserved, Math.min(staticShare, reachableCap(options, options.upMs) - reported)), reported, reserved, staticShare, busy,
	};
};
