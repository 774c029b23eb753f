/** Crashing requests at this entry: what died under which request, told to and heard from other entries. */

import net from 'node:net';
import {
	createCrashHistory, createFingerprint, messageVersion,
	type AgentToEntry, type CrashReport, type EntryToAgent, type Instance, type Placement,
} from '@egretwing/core';
import type {Logger} from '@egretwing/node';
import type {AttemptOutcome} from './attempt.ts';
import type {CallerRequest} from './request.ts';
import type {View} from './view.ts';

/** A connection that is not refused within this time counts as a sign of death as well. */
const confirmTimeoutMs = 500;

/** An attempt whose end is watched. */
export type CrashAttempt = {
	readonly request: CallerRequest;
	readonly fingerprint: string;
	readonly instance: Instance;
	/** Aborts when the caller is gone. */
	readonly signal: AbortSignal;
};

/** The crash memory of the entry with its exchange. */
export type EntryCrash = {
	/** Identifies a request across its resends. A body without an idempotency key can't be told from another. */
	readonly fingerprintOf: (request: CallerRequest) => string;
	readonly placementOf: (fingerprint: string, nowMs: number) => Placement;
	/** Learns from the end of an attempt; follows the body of an answer to its end. */
	readonly finish: (outcome: AttemptOutcome, attempt: CrashAttempt) => void;
	readonly onMessage: (message: AgentToEntry) => void;
};

/** What the crash memory of an entry needs. */
export type EntryCrashOptions = {
	readonly hostId: string;
	readonly nowMs: () => number;
	readonly view: Pick<View, 'members'>;
	readonly logger: Logger;
	readonly send: (message: EntryToAgent) => void;
};

/** A body of this kind holds a crash report. */
type CrashBody = {
	readonly kind: 'crash';
	readonly report: CrashReport;
};

const isCrashBody = (body: unknown): body is CrashBody =>
	typeof body === 'object' && body !== null && (body as {readonly kind?: unknown}).kind === 'crash';

/** True when the instance accepts a connection, so that only the one connection was lost. */
const acceptsConnection = async ({address, port}: Instance): Promise<boolean> => new Promise(resolve => {
	const socket = net.connect({host: address, port});
	const settle = (isAccepted: boolean): void => {
		socket.destroy();
		resolve(isAccepted);
	};

	socket.setTimeout(confirmTimeoutMs, () => {
		settle(false);
	});
	socket.once('connect', () => {
		settle(true);
	});
	socket.once('error', () => {
		settle(false);
	});
});

/** Creates the crash memory of the entry. */
export const createEntryCrash = ({hostId, nowMs, view, logger, send}: EntryCrashOptions): EntryCrash => {
	const memory = createCrashHistory();
	let bodies = 0;

	const publish = (report: CrashReport): void => {
		const to = view.members()
			.filter(member => member.usable && member.host.hostId !== hostId)
			.map(member => member.host.hostId);
		const body: CrashBody = {kind: 'crash', report};
		send({
			type: 'publish', version: messageVersion, to, body,
		});
	};

	const recordLoss = async (request: CallerRequest, fingerprint: string, instance: Instance): Promise<void> => {
		const lostAtMs = nowMs();
		const report: CrashReport = {
			service: request.service.name, fingerprint, instanceId: instance.hostId, ageMs: 0,
		};
		if (!memory.record(report, lostAtMs)) {
			return;
		}

		if (await acceptsConnection(instance)) {
			memory.withdraw(fingerprint, instance.hostId);
			return;
		}

		logger.warn('instance died under a request', {
			service: report.service, instance: report.instanceId, method: request.method, path: request.path,
		});
		publish({...report, ageMs: nowMs() - lostAtMs});
	};

	return {
		fingerprintOf(request) {
			const {method, target, service, idempotencyKey: key} = request;
			const isUnidentified = request.hasBody && key === undefined;
			return createFingerprint({
				service: service.name, method, target, key, bodyDigest: isUnidentified ? `${hostId}/${bodies++}` : undefined,
			});
		},
		placementOf: memory.placementOf,
		finish(outcome, {request, fingerprint, instance, signal}) {
			if (outcome.type === 'unknown' && outcome.reason === 'connection-lost') {
				void recordLoss(request, fingerprint, instance);
				return;
			}

			if (outcome.type !== 'answered') {
				return;
			}

			outcome.body.once('end', () => {
				memory.recordAnswer(fingerprint, nowMs());
			});
			outcome.body.once('error', () => {
				if (!signal.aborted) {
					void recordLoss(request, fingerprint, instance);
				}
			});
		},
		onMessage(message) {
			if (message.type === 'delivered' && isCrashBody(message.body)) {
				memory.record(message.body.report, nowMs());
			}
		},
	};
};
