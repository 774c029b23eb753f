/** One gateway's view of the fleet: the members that are present, and those among them that callers are directed to. */

import {
	gatewaysForCaller, isPresent, placeCallers, toCallerGateways, type CallerGateway, type EntryHost, type Membership, type MemberView, type ReaderCandidate,
} from '@egretwing/core';
import type {Logger} from '@egretwing/node';
import {locateKeepMs, reportingWindowMs, untrustedLocateKeepMs} from './constants.ts';

/** Addresses that callers may connect to, and how long they may cache them. */
export type LocatedGateways = {
	readonly addresses: ReadonlyArray<{readonly address: string; readonly port: number}>;
	readonly keepMs: number;
};

/** View of the fleet. */
export type FleetView = {
	/** Applies changes of the membership; to be called on each tick. */
	readonly refresh: () => void;
	/** Present members, this gateway included. */
	readonly hosts: () => ReadonlyMap<string, EntryHost>;
	readonly peerIds: () => readonly string[];
	/** Peers in this gateway's data centre. */
	readonly localPeerIds: () => readonly string[];
	/** Present members as candidates of the store readers' election. */
	readonly readerCandidates: () => readonly ReaderCandidate[];
	/** Gateways that callers are directed to. */
	readonly placedIds: () => readonly string[];
	/** Peers that callers are directed to, or were within `reportingWindowMs`; the others get next to no requests. */
	readonly recentlyPlacedPeerIds: () => readonly string[];
	/** Whether callers are directed to other gateways only, and have not been directed to this one within `reportingWindowMs`. */
	readonly isUnplaced: () => boolean;
	/** Gateways for callers of a data centre. */
	readonly locate: (dataCentre: string | undefined, isDraining: boolean) => LocatedGateways;
};

/** Dependencies of the view. */
export type FleetViewOptions = {
	readonly self: EntryHost;
	readonly membership: Membership;
	readonly membersPerNamed: number | undefined;
	readonly nowMs: () => number;
	readonly logger: Logger;
	readonly onPresent: (count: number) => void;
	/** Called with all members, those that have left or are dead included, when one of them has changed. */
	readonly onMembers: (members: readonly MemberView[]) => void;
};

/** Creates a view without members. */
export const createFleetView = ({
	self, membership, membersPerNamed, nowMs, logger, onPresent, onMembers,
}: FleetViewOptions): FleetView => {
	const placedAtMsById = new Map<string, number>();
	let hosts: ReadonlyMap<string, EntryHost> = new Map();
	let readerCandidates: readonly ReaderCandidate[] = [];
	let placed: ReadonlyMap<string, readonly CallerGateway[]> = new Map();
	let placedIds: readonly string[] = [];
	let appliedVersion = -1;
	/** Whether the membership has been trusted at least once. */
	let wasTrusted = false;

	const peerIds = (): readonly string[] => [...hosts.keys()].filter(id => id !== self.hostId);

	const updatePlacement = (): void => {
		appliedVersion = membership.version();
		const members = membership.members();
		onMembers(members);
		const present = members.filter(member => isPresent(member));
		hosts = new Map(present.map(({host}) => [host.hostId, host]));
		readerCandidates = present.map(({host: {hostId, dataCentre, capacity}, entryState}) => ({
			hostId, dataCentre, capacity, isDraining: entryState === 'draining',
		}));
		onPresent(present.length);
		placed = placeCallers(toCallerGateways(members), {membersPerNamed});
		const gateways = [...placed.values()].flat().map(gateway => gateway.hostId);
		if (gateways.join(',') !== placedIds.join(',')) {
			placedIds = gateways;
			logger.info('callers placed', {members: present.length, gateways});
		}
	};

	const recordPlaced = (): void => {
		const timeMs = nowMs();
		for (const id of placedIds) {
			placedAtMsById.set(id, timeMs);
		}

		for (const [id, atMs] of placedAtMsById) {
			if (timeMs - atMs >= reportingWindowMs) {
				placedAtMsById.delete(id);
			}
		}
	};

	return {
		refresh() {
			wasTrusted ||= membership.isTrusted(nowMs());
			if (membership.version() !== appliedVersion) {
				updatePlacement();
			}

			recordPlaced();
		},
		hosts: () => hosts,
		peerIds,
		localPeerIds: () => peerIds().filter(id => hosts.get(id)?.dataCentre === self.dataCentre),
		readerCandidates: () => readerCandidates,
		placedIds: () => placedIds,
		recentlyPlacedPeerIds: () => [...placedAtMsById.keys()].filter(id => id !== self.hostId),
		isUnplaced: () => placedIds.length > 0 && !placedAtMsById.has(self.hostId),
		/**
		 * A gateway that starts names the gateways that it knows so far, itself included, with a short time to live. One that
		 * resumes after its process was paused names only itself until it has heard from the others again.
		 */
		locate(dataCentre, isDraining) {
			const placedHosts = gatewaysForCaller(placed, dataCentre).flatMap(gateway => hosts.get(gateway.hostId) ?? []);
			const isTrusted = membership.isTrusted(nowMs());
			const isKnown = (isTrusted || !wasTrusted) && placedHosts.length > 0;
			const named = isKnown || isDraining ? placedHosts : [self];
			return {
				addresses: named.map(host => ({address: host.address, port: host.entryPort})),
				keepMs: isTrusted ? locateKeepMs : untrustedLocateKeepMs,
			};
		},
	};
};
