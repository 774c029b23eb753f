/** One gateway's view of the fleet: the members that are present, and those of them that callers are sent to. */

import {
	gatewaysForCaller, isPresent, placeCallers, toCallerGateways, type CallerGateway, type EntryHost, type Membership,
} from '@egretwing/core';
import type {Logger} from '@egretwing/node';
import {locateKeepMs, reportingMs, untrustedLocateKeepMs} from './constants.ts';

/** Where callers may connect, and for how long the answer holds. */
export type LocatedGateways = {
	readonly addresses: ReadonlyArray<{readonly address: string; readonly port: number}>;
	readonly keepMs: number;
};

/** The view. */
export type FleetView = {
	/** Takes in what membership has learned; to be called on each tick. */
	readonly refresh: () => void;
	/** Present members, this gateway included. */
	readonly hosts: () => ReadonlyMap<string, EntryHost>;
	readonly peerIds: () => readonly string[];
	/** Peers of the own data centre. */
	readonly nearPeerIds: () => readonly string[];
	/** Gateways that callers are sent to. */
	readonly placedIds: () => readonly string[];
	/** Peers that callers are sent to, or were a moment ago: the others get next to no requests. */
	readonly sharerIds: () => readonly string[];
	/** True while callers are sent to other gateways, and have been for a moment. */
	readonly isUnplaced: () => boolean;
	/** Gateways for the callers of a data centre. */
	readonly locate: (dataCentre: string | undefined, isDraining: boolean) => LocatedGateways;
};

/** What the view needs. */
export type FleetViewOptions = {
	readonly self: EntryHost;
	readonly membership: Membership;
	readonly membersPerNamed: number | undefined;
	readonly nowMs: () => number;
	readonly logger: Logger;
	readonly onPresent: (count: number) => void;
};

/** Creates a view that knows nobody yet. */
export const createFleetView = ({
	self, membership, membersPerNamed, nowMs, logger, onPresent,
}: FleetViewOptions): FleetView => {
	const placedAtMsById = new Map<string, number>();
	let hosts: ReadonlyMap<string, EntryHost> = new Map();
	let placed: ReadonlyMap<string, readonly CallerGateway[]> = new Map();
	let placedIds: readonly string[] = [];
	let seenVersion = -1;
	/** True once membership was trusted for the first time. */
	let wasTrusted = false;

	const peerIds = (): readonly string[] => [...hosts.keys()].filter(id => id !== self.hostId);

	const place = (): void => {
		seenVersion = membership.version();
		const members = membership.members();
		const present = members.filter(member => isPresent(member));
		hosts = new Map(present.map(({host}) => [host.hostId, host]));
		onPresent(present.length);
		placed = placeCallers(toCallerGateways(members), {membersPerNamed});
		const gateways = [...placed.values()].flat().map(gateway => gateway.hostId);
		if (gateways.join(',') !== placedIds.join(',')) {
			placedIds = gateways;
			logger.info('callers placed', {members: present.length, gateways});
		}
	};

	const notePlaced = (): void => {
		const timeMs = nowMs();
		for (const id of placedIds) {
			placedAtMsById.set(id, timeMs);
		}

		for (const [id, atMs] of placedAtMsById) {
			if (timeMs - atMs >= reportingMs) {
				placedAtMsById.delete(id);
			}
		}
	};

	return {
		refresh() {
			wasTrusted ||= membership.isTrusted(nowMs());
			if (membership.version() !== seenVersion) {
				place();
			}

			notePlaced();
		},
		hosts: () => hosts,
		peerIds,
		nearPeerIds: () => peerIds().filter(id => hosts.get(id)?.dataCentre === self.dataCentre),
		placedIds: () => placedIds,
		sharerIds: () => [...placedAtMsById.keys()].filter(id => id !== self.hostId),
		isUnplaced: () => placedIds.length > 0 && !placedAtMsById.has(self.hostId),
		/**
		 * A gateway that starts names those that it has heard of so far, itself included, for a short time. One that wakes
		 * from a pause names itself until it has heard from the others again.
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
