/**
 * Assigns each plain key to an entry host by rendezvous hashing over all known entry hosts.
 *
 * Suspected hosts remain candidates, and a host that left remains one for as long as a key that it may have run can be
 * resent. A lost owner therefore leads to a refusal and never to a second owner.
 */

import type {FleetMember} from '../messages/types.ts';
import {hashText} from '../random.ts';

/** An entry host that may own plain keys. */
export type OwnerCandidate = {
	readonly hostId: string;
	readonly incarnation: number;
	/** When the host disappeared from the list of members; absent while it is a member. */
	readonly goneAtMs?: number;
};

/** The owners of plain keys as seen by one entry. */
export type KeyOwners = {
	/** Applies the current list of fleet members. */
	readonly update: (members: readonly FleetMember[], nowMs: number) => void;
	/** The candidate with this host id. */
	readonly byHostId: (hostId: string) => OwnerCandidate | undefined;
	/** True once a list of members has contained the entry itself. */
	readonly isListed: () => boolean;
	/** The candidate that ranks first for `text`, the entry itself included. */
	readonly ownerOf: (text: string, nowMs: number) => OwnerCandidate;
};

type HashedCandidate = OwnerCandidate & {readonly hash: number};

const mix = (left: number, right: number): number => {
	/* eslint-disable no-bitwise */
	let mixed = Math.imul(left ^ right, 0x85_EB_CA_6B);
	mixed ^= mixed >>> 13;
	mixed = Math.imul(mixed, 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
	/* eslint-enable no-bitwise */
};

const ranksHigher = (left: HashedCandidate, right: HashedCandidate, keyHash: number): boolean => {
	const leftScore = mix(left.hash, keyHash);
	const rightScore = mix(right.hash, keyHash);
	return leftScore === rightScore ? left.hostId < right.hostId : leftScore > rightScore;
};

/** Creates the view of the entry `self`; a host that left remains a candidate for `keepMs`. */
export const createKeyOwners = (self: {readonly hostId: string; readonly incarnation: number}, keepMs: number): KeyOwners => {
	const own: HashedCandidate = {...self, hash: hashText(self.hostId)};
	const candidates = new Map<string, HashedCandidate>([[self.hostId, own]]);

	let isSelfListed = false;

	const dropExpired = (nowMs: number): void => {
		for (const candidate of candidates.values()) {
			if (candidate.goneAtMs !== undefined && nowMs - candidate.goneAtMs > keepMs) {
				candidates.delete(candidate.hostId);
			}
		}
	};

	const markGone = (present: ReadonlySet<string>, nowMs: number): void => {
		for (const candidate of candidates.values()) {
			if (candidate.hostId !== self.hostId && candidate.goneAtMs === undefined && !present.has(candidate.hostId)) {
				candidates.set(candidate.hostId, {...candidate, goneAtMs: nowMs});
			}
		}
	};

	return {
		update(members, nowMs) {
			const present = new Set(members.map(member => member.host.hostId));
			isSelfListed ||= present.has(self.hostId);
			markGone(present, nowMs);
			for (const {host, incarnation} of members) {
				const known = candidates.get(host.hostId);
				candidates.set(host.hostId, {
					hostId: host.hostId,
					incarnation: Math.max(incarnation, known?.incarnation ?? 0),
					hash: known?.hash ?? hashText(host.hostId),
				});
			}

			dropExpired(nowMs);
		},
		byHostId: hostId => candidates.get(hostId),
		isListed: () => isSelfListed,
		ownerOf(text, nowMs) {
			dropExpired(nowMs);
			const keyHash = hashText(text);
			let first = candidates.get(self.hostId) ?? own;
			for (const candidate of candidates.values()) {
				if (ranksHigher(candidate, first, keyHash)) {
					first = candidate;
				}
			}

			return first;
		},
	};
};
