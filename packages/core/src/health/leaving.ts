/** Instances that are leaving: by the host list, by a draining answer, or by a peer's word. */

import type {Instance} from '../platform/types.ts';
import {drainingHoldMs} from './constants.ts';

/** What is remembered of a leaving instance. */
type LeavingSign = {
	signAtMs: number;
	/** Sequence of the host list in force at the last sign. */
	sequence: number;
	/** True once the host list itself showed the instance as leaving or left it out. */
	confirmed: boolean;
	/** Where the instance was; another address is another instance. */
	readonly endpoint: string;
};

/** The leaving instances of one service. */
export type LeavingRegister = {
	/** Takes a host list; one with a lower sequence than the last changes nothing. */
	readonly applyList: (instances: readonly Instance[], sequence: number, nowMs: number) => void;
	/** A draining answer. */
	readonly markLeaving: (instance: Instance, nowMs: number) => void;
	/** A peer's word; `sequence` is that of the host list when the peer saw the sign. */
	readonly applyPeer: (instance: Instance, sequence: number, nowMs: number) => void;
	/** The instance itself answered that it takes work. */
	readonly markReady: (instanceId: string, nowMs: number) => void;
	readonly isLeaving: (instanceId: string) => boolean;
	/** Sequence to report to the peers; undefined if the instance is not leaving. */
	readonly sequenceOf: (instanceId: string) => number | undefined;
};

const endpointOf = (instance: Instance): string => `${instance.address}:${instance.port}`;

/** Creates an empty register. */
export const createLeavingRegister = (): LeavingRegister => {
	const signs = new Map<string, LeavingSign>();
	const restoredSequences = new Map<string, number>();
	let lastSequence = -1;

	const mark = (instance: Instance, sequence: number, confirmed: boolean, nowMs: number): void => {
		signs.set(instance.hostId, {
			signAtMs: nowMs, sequence, confirmed, endpoint: endpointOf(instance),
		});
	};

	const applyLine = (instance: Instance, sequence: number, nowMs: number): void => {
		const sign = signs.get(instance.hostId);
		if (instance.state === 'leaving') {
			mark(instance, sequence, true, nowMs);
			return;
		}

		// A list that still says "live" lags; only one that said "leaving" before, or a new address, brings it back.
		if (sign && (sign.confirmed || sign.endpoint !== endpointOf(instance))) {
			signs.delete(instance.hostId);
			restoredSequences.set(instance.hostId, sequence);
		}
	};

	return {
		applyList(instances, sequence, nowMs) {
			if (sequence <= lastSequence) {
				return;
			}

			lastSequence = sequence;
			for (const hostId of restoredSequences.keys()) {
				if (!instances.some(instance => instance.hostId === hostId)) {
					restoredSequences.delete(hostId);
				}
			}

			const listed = new Set(instances.map(({hostId}) => hostId));
			for (const [hostId, sign] of signs) {
				sign.confirmed ||= !listed.has(hostId);
			}

			for (const instance of instances) {
				applyLine(instance, sequence, nowMs);
			}
		},
		markLeaving(instance, nowMs) {
			mark(instance, lastSequence, signs.get(instance.hostId)?.confirmed ?? false, nowMs);
		},
		applyPeer(instance, sequence, nowMs) {
			const known = signs.get(instance.hostId)?.sequence ?? restoredSequences.get(instance.hostId);
			if (known === undefined || sequence > known) {
				mark(instance, sequence, signs.get(instance.hostId)?.confirmed ?? false, nowMs);
			}
		},
		markReady(instanceId, nowMs) {
			const sign = signs.get(instanceId);
			if (sign && !sign.confirmed && nowMs - sign.signAtMs >= drainingHoldMs) {
				signs.delete(instanceId);
				restoredSequences.set(instanceId, lastSequence);
			}
		},
		isLeaving: instanceId => signs.has(instanceId),
		sequenceOf: instanceId => signs.get(instanceId)?.sequence,
	};
};
