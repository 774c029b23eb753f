/** Tracks requests that crash instances, and exchanges crash reports with the other entries. */

import net from 'node:net';
import {
	createCrashHistory, createFingerprint, messageVersion,
	type AgentToEntry, type CrashReport, type EntryToAgent, type Instance, type Placement,
} from '@egretwing/core';
import type {Logger} from '@egretwing/node';
import type {AttemptOutcome} from './attempt.ts';
import type {CallerRequest} from './request.ts';
import type {FleetView} from './fleet-view.ts';

/** Timeout of the connection attempt that checks for a crash; a timeout counts as a crash, like a refused connection. */
const confirmTimeoutMs = 500;

/** An attempt whose outcome is tracked. */
export type TrackedAttempt = {
	readonly request: CallerRequest;
	readonly fingerprint: string;
	readonly instance: Instance;
	/** Aborts when the caller disconnects. */
	readonly signal: AbortSignal;
};

/** Crash tracking of an entry. */
export type CrashTracker = {
	/** Identifies a request across its resends. Requests with a body but no idempotency key can't be identified; each is unique. */
	readonly fingerprintOf: (request: CallerRequest) => string;
	readonly placementOf: (fingerprint: string, nowMs: number) => Placement;
	/** Records the outcome of an attempt; for a response, waits for the end of its body. */
	readonly finish: (outcome: AttemptOutcome, attempt: TrackedAttempt) => void;
	readonly onMessage: (message: AgentToEntry) => void;
};

/** Dependencies of the crash tracker. */
export type CrashTrackerOptions = {
	readonly hostId: string;
	readonly nowMs: () => number;
	readonly view: Pick<FleetView, 'members'>;
	readonly logger: Logger;
	readonly send: (message: EntryToAgent) => void;
};

/** Body of a message that carries a crash report. */
type CrashBody = {
	readonly kind: 'crash';
	readonly report: CrashReport;
};

const isCrashBody = (body: unknown): body is CrashBody =>
	typeof body === 'object' && body !== null && (body as {readonly kind?: unknown}).kind === 'crash';

/** Resolves to true if the instance accepts a new connection, in which case only the one connection was lost. */
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

/** Creates the crash tracker of an entry. */
export const createCrashTracker = ({hostId, nowMs, view, logger, send}: CrashTrackerOptions): CrashTracker => {
	const history = createCrashHistory();
	let unidentifiedRequests = 0;

	const publish = (report: CrashReport): void => {
		const to = view.members()
			.filter(member => member.usable && member.host.hostId !== hostId)
			.map(member => member.host.hostId);
		const body: CrashBody = {kind: 'crash', report};
		send({
			type: 'publish', version: messageVersion, to, body,
		});
	};

	const handleConnectionLoss = async (request: CallerRequest, fingerprint: string, instance: Instance): Promise<void> => {
		const lostAtMs = nowMs();
		const report: CrashReport = {
			service: request.service.name, fingerprint, instanceId: instance.hostId, ageMs: 0,
		};
		if (!history.record(report, lostAtMs)) {
			return;
		}

		if (await acceptsConnection(instance)) {
			history.withdraw(fingerprint, instance.hostId);
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
				service: service.name, method, target, key, bodyDigest: isUnidentified ? `${hostId}/${unidentifiedRequests++}` : undefined,
			});
		},
		placementOf: history.placementOf,
		finish(outcome, {request, fingerprint, instance, signal}) {
			if (outcome.type === 'unknown' && outcome.reason === 'connection-lost') {
				void handleConnectionLoss(request, fingerprint, instance);
				return;
			}

			if (outcome.type !== 'answered') {
				return;
			}

			outcome.body.once('end', () => {
				history.recordAnswer(fingerprint, nowMs());
			});
			outcome.body.once('error', () => {
				if (!signal.aborted) {
					void handleConnectionLoss(request, fingerprint, instance);
				}
			});
		},
		onMessage(message) {
			if (message.type === 'delivered' && isCrashBody(message.body)) {
				history.record(message.body.report, nowMs());
			}
		},
	};
};
