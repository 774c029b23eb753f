/**
 * Chooses an instance for a request: the better of two by requests in flight and latency.
 *
 * The two are the request's home instances, the first two by rendezvous of its fingerprint over the host list. For
 * varied requests this spreads the load as two random choices do, and identical requests meet on the same two
 * instances from whichever entry they come, so that a request that crashes instances can't reach a third before the
 * entries have heard of it. A request that succeeded lately may run elsewhere when its homes are busy.
 */

import {hashText, type Random} from '../random.ts';
import {homeCount} from './constants.ts';
import type {Placement} from './types.ts';

/** An instance as the choice sees it. */
export type InstanceView = {
	readonly instanceId: string;
	/** Hash of the instance id. */
	readonly idHash: number;
	/** Takes new requests. */
	readonly isEligible: boolean;
	/** Refused a connection or died a moment ago: unused, but keeps its place among the homes. */
	readonly isHeld: boolean;
	/** Has a free slot. */
	readonly hasRoom: boolean;
	/** Runs a request that is suspected of crashing instances. */
	readonly hasSuspect: boolean;
	/** Expected cost of one more request; the lower is chosen. */
	readonly cost: number;
};

/** What is known of the request. */
export type SelectionRequest = {
	readonly fingerprint: string;
	readonly attemptedIds: readonly string[];
};

/** The outcome of a choice. */
export type Selection
	= | {readonly type: 'chosen'; readonly instanceId: string}
		| {readonly type: 'busy'}
		| {readonly type: 'none'}
		| {readonly type: 'refused'; readonly kind: 'crash-suspect'};

/** Spreads a pair of hashes over 32 bits. */
const mixHashes = (first: number, second: number): number => {
	/* eslint-disable no-bitwise */
	let mixed = first ^ Math.imul(second, 0x9E_37_79_B1);
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
	/* eslint-enable no-bitwise */
};

/** The first `count` instances by rendezvous of the fingerprint among those that `isCounted` accepts. */
export const findHomes = <View extends Pick<InstanceView, 'instanceId' | 'idHash'>>(
	fingerprint: string,
	views: readonly View[],
	count: number,
	isCounted: (view: View) => boolean,
): readonly View[] => {
	const fingerprintHash = hashText(fingerprint);
	const best: Array<{readonly view: View; readonly score: number}> = [];
	for (const view of views) {
		if (!isCounted(view)) {
			continue;
		}

		const score = mixHashes(fingerprintHash, view.idHash);
		if (best.length === count && score <= best[count - 1]!.score) {
			continue;
		}

		const position = best.findIndex(other => score > other.score);
		best.splice(position === -1 ? best.length : position, 0, {view, score});
		best.length = Math.min(best.length, count);
	}

	return best.map(({view}) => view);
};

const isUsable = (view: InstanceView): boolean => view.isEligible && !view.isHeld && view.hasRoom;

/** The cheapest usable instance, those not yet attempted first. */
const pickCheapest = (views: readonly InstanceView[], attemptedIds: readonly string[]): InstanceView | undefined => {
	const usable = views.filter(view => isUsable(view));
	const fresh = usable.filter(view => !attemptedIds.includes(view.instanceId));
	const pool = fresh.length > 0 ? fresh : usable;
	let cheapest: InstanceView | undefined;
	for (const view of pool) {
		if (cheapest === undefined || view.cost < cheapest.cost) {
			cheapest = view;
		}
	}

	return cheapest;
};

const pickTwoAtRandom = (views: readonly InstanceView[], random: Random): readonly InstanceView[] => {
	if (views.length <= homeCount) {
		return views;
	}

	const first = Math.floor(random.next() * views.length);
	const offset = 1 + Math.floor(random.next() * (views.length - 1));
	return [views[first]!, views[(first + offset) % views.length]!];
};

const asSelection = (view: InstanceView | undefined): Selection =>
	view === undefined ? {type: 'busy'} : {type: 'chosen', instanceId: view.instanceId};

const selectAnywhere = (request: SelectionRequest, homes: readonly InstanceView[], views: readonly InstanceView[], random: Random): Selection => {
	const home = pickCheapest(homes.filter(view => !request.attemptedIds.includes(view.instanceId)), []);
	if (home !== undefined) {
		return asSelection(home);
	}

	const usable = views.filter(view => isUsable(view));
	const fresh = usable.filter(view => !request.attemptedIds.includes(view.instanceId));
	return asSelection(pickCheapest(pickTwoAtRandom(fresh.length > 0 ? fresh : usable, random), []));
};

const selectAlone = (request: SelectionRequest, exceptIds: readonly string[], views: readonly InstanceView[]): Selection => {
	const isCounted = (view: InstanceView) => view.isEligible || view.isHeld;
	const others = views.filter(view => !exceptIds.includes(view.instanceId));
	const [home] = findHomes(request.fingerprint, others.some(view => isCounted(view)) ? others : views, 1, isCounted);
	return asSelection(home !== undefined && isUsable(home) && !home.hasSuspect ? home : undefined);
};

/** Chooses an instance for a request among all instances of the service. */
export const selectInstance = (
	request: SelectionRequest,
	placement: Placement,
	views: readonly InstanceView[],
	random: Random,
): Selection => {
	if (placement.type === 'refused') {
		return {type: 'refused', kind: placement.kind};
	}

	if (!views.some(view => view.isEligible || view.isHeld)) {
		return {type: 'none'};
	}

	const homes = () => findHomes(request.fingerprint, views, homeCount, view => view.isEligible || view.isHeld);
	switch (placement.type) {
		case 'anywhere': {
			return selectAnywhere(request, homes(), views, random);
		}

		case 'homes': {
			return asSelection(pickCheapest(homes(), request.attemptedIds));
		}

		case 'alone': {
			return selectAlone(request, placement.exceptIds, views);
		}
	}
};
