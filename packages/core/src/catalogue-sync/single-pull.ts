/** Asks for something large of one peer at a time: copies from several would share the links and each come later. */

import {pullTimeoutMs, slowPullMs} from './constants.ts';

/** What became of the question. */
export type PullStep
	= | {readonly type: 'waits'}
	/** The peer that was asked did not answer; `nextId` is asked now, where another offered the same. */
		| {readonly type: 'silent'; readonly silentId: string; readonly nextId: string | undefined}
	/** The answer is arriving, but takes so long that `nextId` is asked as well. */
		| {readonly type: 'slow'; readonly nextId: string};

/** A question for one thing. */
export type SinglePull = {
	/** Takes a peer that has it: true when that peer is to be asked now, else it is kept in case that the one asked is silent. */
	readonly offer: (peerId: string, nowMs: number) => boolean;
	/** To be called on each tick. */
	readonly advance: (nowMs: number) => PullStep;
	/** It arrived, or is not wanted any more. */
	readonly end: () => void;
};

/** Creates a question that nobody was asked yet; `isArriving` tells whether a part of a message of a peer is there. */
export const createSinglePull = (isArriving: (peerId: string) => boolean): SinglePull => {
	const others = new Set<string>();
	let asked: {readonly peerId: string; readonly atMs: number} | undefined;

	const end = (): void => {
		asked = undefined;
		others.clear();
	};

	const askNext = (peerId: string | undefined, nowMs: number): void => {
		if (peerId === undefined) {
			end();
			return;
		}

		others.delete(peerId);
		asked = {peerId, atMs: nowMs};
	};

	return {
		offer(peerId, nowMs) {
			if (asked !== undefined) {
				others.add(peerId);
				return false;
			}

			asked = {peerId, atMs: nowMs};
			return true;
		},
		advance(nowMs) {
			if (asked === undefined || nowMs - asked.atMs < pullTimeoutMs) {
				return {type: 'waits'};
			}

			const {peerId, atMs} = asked;
			others.delete(peerId);
			const [nextId] = others;
			if (isArriving(peerId)) {
				if (nextId === undefined || nowMs - atMs < slowPullMs) {
					return {type: 'waits'};
				}

				askNext(nextId, nowMs);
				return {type: 'slow', nextId};
			}

			askNext(nextId, nowMs);
			return {type: 'silent', silentId: peerId, nextId};
		},
		end,
	};
};
