/** Asks for something large of one peer at a time: copies from several would share the links and each come later. */

import {pullTimeoutMs} from './constants.ts';

/** What became of the question. */
export type PullStep
	= | {readonly type: 'waits'}
	/** The peer that was asked did not answer; `nextId` is asked now, where another offered the same. */
		| {readonly type: 'silent'; readonly silentId: string; readonly nextId: string | undefined};

/** A question for one thing. */
export type SinglePull = {
	/** Takes a peer that has it: true when that peer is to be asked now, else it is kept in case that the one asked is silent. */
	readonly offer: (peerId: string, nowMs: number) => boolean;
	/** To be called on each tick. */
	readonly advance: (nowMs: number) => PullStep;
	/** It arrived, or is not wanted any more. */
	readonly end: () => void;
};

/** Creates a question that nobody was asked yet. */
export const createSinglePull = (): SinglePull => {
	const others = new Set<string>();
	let asked: {readonly peerId: string; readonly atMs: number} | undefined;

	const end = (): void => {
		asked = undefined;
		others.clear();
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

			const silentId = asked.peerId;
			others.delete(silentId);
			const [nextId] = others;
			if (nextId === undefined) {
				end();
			} else {
				others.delete(nextId);
				asked = {peerId: nextId, atMs: nowMs};
			}

			return {type: 'silent', silentId, nextId};
		},
		end,
	};
};
