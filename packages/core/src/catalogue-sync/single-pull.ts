/** Pulls a large object from one peer at a time: copies from several peers would share the links and each arrive later. */

import {pullTimeoutMs, slowPullMs} from './constants.ts';

/** Next step of a pull. */
export type PullStep
	= | {readonly type: 'wait'}
	/** The peer that was asked did not answer; `nextId` is asked now, if another peer offered the object. */
		| {readonly type: 'unresponsive'; readonly unresponsiveId: string; readonly nextId: string | undefined}
	/** The answer is arriving too slowly, so that `nextId` is asked as well. */
		| {readonly type: 'slow'; readonly nextId: string};

/** Pull of one object. */
export type SinglePull = {
	/** Adds a peer that has the object: true when it has to be asked now; otherwise it is kept in case the peer that was asked is unresponsive. */
	readonly offer: (peerId: string, nowMs: number) => boolean;
	/** Returns the next step; to be called on each tick. */
	readonly advance: (nowMs: number) => PullStep;
	/** Ends the pull: the object arrived, or is no longer needed. */
	readonly end: () => void;
};

/** Creates a pull without peers; `isReceivingFrom` returns true while a message of a peer is partly received. */
export const createSinglePull = (isReceivingFrom: (peerId: string) => boolean): SinglePull => {
	const otherIds = new Set<string>();
	let current: {readonly peerId: string; readonly atMs: number} | undefined;

	const end = (): void => {
		current = undefined;
		otherIds.clear();
	};

	const askNext = (peerId: string | undefined, nowMs: number): void => {
		if (peerId === undefined) {
			end();
			return;
		}

		otherIds.delete(peerId);
		current = {peerId, atMs: nowMs};
	};

	return {
		offer(peerId, nowMs) {
			if (current !== undefined) {
				otherIds.add(peerId);
				return false;
			}

			current = {peerId, atMs: nowMs};
			return true;
		},
		advance(nowMs) {
			if (current === undefined || nowMs - current.atMs < pullTimeoutMs) {
				return {type: 'wait'};
			}

			const {peerId, atMs} = current;
			otherIds.delete(peerId);
			const [nextId] = otherIds;
			if (isReceivingFrom(peerId)) {
				if (nextId === undefined || nowMs - atMs < slowPullMs) {
					return {type: 'wait'};
				}

				askNext(nextId, nowMs);
				return {type: 'slow', nextId};
			}

			askNext(nextId, nowMs);
			return {type: 'unresponsive', unresponsiveId: peerId, nextId};
		},
		end,
	};
};
