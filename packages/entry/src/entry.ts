/** Puts the entry together: session with the agent, pipeline, callers' listener, operators' interface. */

import http from 'node:http';
import type net from 'node:net';
import {
	createAtMostOnceGate, createRandom, hashText, messageVersion,
} from '@egretwing/core';
import {
	createLogger, createOperatorServer, createProcessClock, createSealer, listen, handleClientError,
} from '@egretwing/node';
import {createAdmission} from './admission.ts';
import {createAdmissionMetrics} from './admission-metrics.ts';
import {createAgentLink} from './agent-link.ts';
import {createAttempts} from './attempt.ts';
import {beatIntervalMs, slowCallerCheckMs} from './constants.ts';
import {createEntryCrash} from './crash.ts';
import {createForwarder} from './forward.ts';
import {createEntryMetrics} from './metrics.ts';
import {createEntryHealth} from './health.ts';
import {createHealthMetrics} from './health-metrics.ts';
import {createKeyPrefixHandler} from './once-key.ts';
import {createEntryOperator} from './operator.ts';
import {createPipeline} from './pipeline.ts';
import {createRetries} from './retry.ts';
import type {EntrySettings} from './settings.ts';
import {createShutdown} from './shutdown.ts';
import {createView} from './view.ts';

/** A running entry. */
export type Entry = {
	/** Port that callers connect to. */
	readonly port: number;
	readonly operatorPort: number;
	/** Leaves the answers to callers, lets requests in flight end, then closes everything. */
	readonly shutdown: () => Promise<void>;
};

/** Starts an entry; rejects when an address can't be bound. */
export const startEntry = async (settings: EntrySettings): Promise<Entry> => {
	const {hostId} = settings;
	const logger = createLogger('egretwing-entry', hostId, settings.logLevel);
	const clock = createProcessClock();
	const incarnation = Date.now();
	const metrics = createEntryMetrics();
	const view = createView();
	const attempts = createAttempts({bodyIdleTimeoutMs: settings.bodyIdleTimeoutMs, localAddress: settings.address, nowMs: clock.nowMs});
	const gate = createAtMostOnceGate(
		{hostId, incarnation, startedAtMs: clock.nowMs()},
		{maxKeys: settings.maxIdempotencyKeys, maxBytes: settings.maxIdempotencyKeyBytes},
	);
	const forwarder = createForwarder({
		hostId, members: view.members, sealer: createSealer(settings.fleetKeys), attempts,
	});
	const health = createEntryHealth({
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
	const crash = createEntryCrash({
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
		connectionsCheckingInterval: Math.min(settings.headersTimeoutMs, slowCallerCheckMs),
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
		handle: createEntryOperator({
			hostId,
			incarnation,
			view,
			health,
			isDraining: () => shutdown.isDraining(),
			drain() {
				void end();
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
	const beats = setInterval(() => {
		const clockMs = clock.nowMs();
		gate.tick(clockMs);
		link.send({
			type: 'key-clock', version: messageVersion, hostId, incarnation, clockMs,
		});
		const {keys, bytes} = gate.usage();
		metrics.keys.set(keys);
		metrics.keyBytes.set(bytes);
	}, beatIntervalMs);
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
		clearInterval(beats);
		health.close();
		admission.close();
		link.close();
		operator.close();
		logger.info('entry stopped', {outcome});
	};

	let ending: Promise<void> | undefined;
	const end = async (): Promise<void> => {
		ending ??= closeAll();
		return ending;
	};

	return {port, operatorPort: operator.port, shutdown: end};
};
