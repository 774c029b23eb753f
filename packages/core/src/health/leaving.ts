/** Instances that are leaving according to the host list, a draining answer or the report of a peer. */

import type {Instance} from '../platform/types.ts';
import {drainingHoldMs} from './constants.ts';

/** The last signal that an instance is leaving. */
type LeavingSignal = {
	lastSignalAtMs: number;
	/** Sequence of the host list in force at the last signal. */
	sequence: number;
	/** True once the host list itself has marked the instance as leaving or omitted it. */
	confirmed: boolean;
	/** Address and port of the instance; another endpoint means another instance. */
	readonly endpoint: string;
};

/** The leaving instances of one service. */
export type LeavingRegister = {
	/** Applies a host list; ignored unless its sequence is higher than the last one. */
	readonly applyHostList: (instances: readonly Instance[], sequence: number, nowMs: number) => void;
	/** Records a draining answer. */
	readonly markLeaving: (instance: Instance, nowMs: number) => void;
	/** Applies the report of a peer; `sequence` is that of the host list in force when the peer saw the signal. */
	readonly applyPeerReport: (instance: Instance, sequence: number, nowMs: number) => void;
	/** Records that the instance itself answered that it accepts requests. */
	readonly markReady: (instanceId: string, nowMs: number) => void;
	readonly isLeaving: (instanceId: string) => boolean;
	/** Sequence to report to the peers; undefined if the instance is not leaving. */
	readonly sequenceOf: (instanceId: string) => number | undefined;
};

const endpointOf = (instance: Instance): string => `${instance.address}:${instance.port}`;

/** Creates an empty register. */
export const createLeavingRegister = (): LeavingRegister => {
	const signals = new Map<string, LeavingSignal>();
	const restoredSequences = new Map<string, number>();
	let lastSequence = -1;

	const mark = (instance: Instance, sequence: number, confirmed: boolean, nowMs: number): void => {
		signals.set(instance.hostId, {
			lastSignalAtMs: nowMs, sequence, confirmed, endpoint: endpointOf(instance),
		});
	};

	const applyListedInstance = (instance: Instance, sequence: number, nowMs: number): void => {
		const signal = signals.get(instance.hostId);
		if (instance.state === 'leaving') {
			mark(instance, sequence, true, nowMs);
			return;
		}

		// A list that says "live" may be stale: it restores the instance only after an earlier list confirmed that it was
		// leaving, or if its endpoint changed.
		if (signal && (signal.confirmed || signal.endpoint !== endpointOf(instance))) {
			signals.delete(instance.hostId);
			restoredSequences.set(instance.hostId, sequence);
		}
	};

	return {
		applyHostList(instances, sequence, nowMs) {
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
			for (const [hostId, signal] of signals) {
				signal.confirmed ||= !listed.has(hostId);
			}

			for (const instance of instances) {
				applyListedInstance(instance, sequence, nowMs);
			}
		},
		markLeaving(instance, nowMs) {
			mark(instance, lastSequence, signals.get(instance.hostId)?.confirmed ?? false, nowMs);
		},
		applyPeerReport(instance, sequence, nowMs) {
			const known = signals.get(instance.hostId)?.sequence ?? restoredSequences.get(instance.hostId);
			if (known === undefined || sequence > known) {
				mark(instance, sequence, signals.get(instance.hostId)?.confirmed ?? false, nowMs);
			}
		},
		markReady(instanceId, nowMs) {
			const signal = signals.get(instanceId);
			if (signal && !signal.confirmed && nowMs - signal.lastSignalAtMs >= drainingHoldMs) {
				signals.delete(instanceId);
				restoredSequences.set(instanceId, lastSequence);
			}
		},
		isLeaving: instanceId => signals.has(instanceId),
		sequenceOf: instanceId => signals.get(instanceId)?.sequence,
	};
};
