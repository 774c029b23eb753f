/** Assembles the entry: connection to the agent, request pipeline, HTTP listener for callers, operators' interface. */

import http from 'node:http';
import type net from 'node:net';
import {
	createAtMostOnceGate, createRandom, hashText, messageVersion,
} from '@egretwing/core';
import {
	createErrorBarrier, createLogger, createOperatorServer, createProcessClock, createSealer, listen, handleClientError,
} from '@egretwing/node';
import {createAdmission} from './admission.ts';
import {createAdmissionMetrics} from './admission-metrics.ts';
import {createAgentLink} from './agent-link.ts';
import {createAttempts} from './attempt.ts';
import {heartbeatIntervalMs, connectionCheckIntervalMs} from './constants.ts';
import {createCrashTracker} from './crash-tracker.ts';
import {createForwarder} from './forward.ts';
import {createEntryMetrics} from './metrics.ts';
import {createHealthMonitor} from './health.ts';
import {createHealthMetrics} from './health-metrics.ts';
import {createKeyPrefixHandler} from './key-prefix.ts';
import {createEntryOperator} from './operator.ts';
import {createPipeline} from './pipeline.ts';
import {createRetries} from './retry.ts';
import type {EntrySettings} from './settings.ts';
import {createShutdown} from './shutdown.ts';
import {createFleetView} from './fleet-view.ts';

/** A running entry. */
export type Entry = {
	/** Port that callers connect to. */
	readonly port: number;
	readonly operatorPort: number;
	/** Announces the shutdown to the agent, waits for requests in flight, then closes everything. */
	readonly shutdown: () => Promise<void>;
};

/** Starts an entry; rejects if an address can't be bound. */
export const startEntry = async (settings: EntrySettings): Promise<Entry> => {
	const {hostId} = settings;
	const logger = createLogger('egretwing-entry', hostId, settings.logLevel);
	const clock = createProcessClock();
	const incarnation = Date.now();
	const metrics = createEntryMetrics();
	const view = createFleetView();
	const attempts = createAttempts({bodyIdleTimeoutMs: settings.bodyIdleTimeoutMs, localAddress: settings.address, nowMs: clock.nowMs});
	const gate = createAtMostOnceGate(
		{hostId, incarnation, startedAtMs: clock.nowMs()},
		{maxKeys: settings.maxIdempotencyKeys, maxBytes: settings.maxIdempotencyKeyBytes},
	);
	const forwarder = createForwarder({
		hostId, members: view.members, sealer: createSealer(settings.fleetKeys), attempts,
	});
	const health = createHealthMonitor({
		hostId,
		incarnation,
		nowMs: clock.nowMs,
		view,
		metrics: createHealthMetrics(metrics.registry),
		logger,
		send(message) {
			link.send(message);
		},
	});
	const crash = createCrashTracker({
		hostId,
		nowMs: clock.nowMs,
		view,
		logger,
		send(message) {
			link.send(message);
		},
	});
	const admissionMetrics = createAdmissionMetrics(metrics.registry);
	const admission = createAdmission({
		nowMs: clock.nowMs, view, health, crash, random: createRandom(hashText(`${hostId}/${incarnation}`)), metrics: admissionMetrics,
	});
	const servePipeline = createPipeline({
		clock, view, admission, admissionMetrics, retries: createRetries(), crash, health, attempts, gate, forwarder, metrics, bodyIdleTimeoutMs: settings.bodyIdleTimeoutMs,
	});
	const serveKeyPrefix = createKeyPrefixHandler({clock, gate, view});
	const server = http.createServer({
		keepAliveTimeout: settings.headersTimeoutMs,
		headersTimeout: settings.headersTimeoutMs,
		maxHeaderSize: settings.maxHeaderBytes,
		requestTimeout: 0,
		insecureHTTPParser: false,
		requireHostHeader: false,
		connectionsCheckingInterval: Math.min(settings.headersTimeoutMs, connectionCheckIntervalMs),
	}, async (incoming, response) => {
		if (serveKeyPrefix(incoming, response)) {
			return;
		}

		try {
			await servePipeline(incoming, response);
		} catch (error) {
			logger.error('request failed', {error: String(error)});
			response.destroy();
		}
	});
	server.on('clientError', (error, socket) => {
		handleClientError(error, socket as net.Socket);
	});
	const port = await listen(server, settings.entryPort, settings.address);
	const operator = await createOperatorServer({
		address: settings.operatorAddress,
		port: settings.operatorPort,
		registry: metrics.registry,
		errors: createErrorBarrier({logger, nowMs: clock.nowMs}),
		handle: createEntryOperator({
			hostId,
			incarnation,
			view,
			health,
			isDraining: () => shutdown.isDraining(),
			drain() {
				void shutDown();
			},
		}),
	});
	const link = createAgentLink({
		address: settings.agentAddress,
		port: settings.agentPort,
		hostId,
		incarnation,
		logger,
		onMessage(message) {
			view.apply(message);
			health.onMessage(message);
			crash.onMessage(message);
			if (message.type === 'members') {
				gate.updateMembers(message.members, clock.nowMs());
			}

			metrics.configRevision.set(view.revision());
		},
	});
	const heartbeatTimer = setInterval(() => {
		const clockMs = clock.nowMs();
		gate.tick(clockMs);
		link.send({
			type: 'key-clock', version: messageVersion, hostId, incarnation, clockMs,
		});
		const {keys, bytes} = gate.usage();
		metrics.keys.set(keys);
		metrics.keyBytes.set(bytes);
	}, heartbeatIntervalMs);
	logger.info('entry listens', {address: settings.address, port, operatorPort: operator.port});
	const shutdown = createShutdown({
		server,
		announce() {
			link.send({type: 'draining', version: messageVersion});
		},
		acceptMs: settings.drainAcceptMs,
		drainTimeoutMs: settings.drainTimeoutMs,
		logger,
	});
	const closeAll = async (): Promise<void> => {
		const outcome = await shutdown.run();
		await attempts.close();
		clearInterval(heartbeatTimer);
		health.close();
		admission.close();
		link.close();
		operator.close();
		logger.info('entry stopped', {outcome});
	};

	let shutdownPromise: Promise<void> | undefined;
	const shutDown = async (): Promise<void> => {
		shutdownPromise ??= closeAll();
		return shutdownPromise;
	};

	return {port, operatorPort: operator.port, shutdown: shutDown};
};
