/** Puts the entry together: session with the agent, pipeline, callers' listener, operators' interface. */

import http from 'node:http';
import type net from 'node:net';
import {
	createOnceGate, createRandom, hashText, messageVersion,
} from '@egretwing/core';
import {
	createLogger, createOperatorServer, createProcessClock, createSealer, listen,
} from '@egretwing/node';
import {createAgentLink} from './agent-link.ts';
import {createAttempts} from './attempt.ts';
import {beatIntervalMs, slowCallerCheckMs} from './constants.ts';
import {createForwarder} from './forward.ts';
import {createEntryMetrics} from './metrics.ts';
import {createEntryHealth} from './health.ts';
import {explainHealth} from './health-explain.ts';
import {createHealthMetrics} from './health-metrics.ts';
import {createHealthSelection} from './health-selection.ts';
import {createKeyPrefixHandler} from './once-key.ts';
import {createPipeline} from './pipeline.ts';
import {refuseUnreadable} from './refuse-unreadable.ts';
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
	const gate = createOnceGate(
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
	const selection = createHealthSelection(view, health, createRandom(hashText(`${hostId}/${incarnation}`)));
	const servePipeline = createPipeline({
		clock, view, selection, health, attempts, gate, forwarder, metrics, bodyIdleTimeoutMs: settings.bodyIdleTimeoutMs,
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
		refuseUnreadable(error, socket as net.Socket);
	});
	const port = await listen(server, settings.entryPort, settings.address);
	const operator = await createOperatorServer({
		address: settings.operatorAddress,
		port: settings.operatorPort,
		registry: metrics.registry,
		handle(_method, url) {
			switch (url.pathname) {
				case '/v1/status': {
					return {
						program: 'egretwing-entry', hostId, incarnation, ready: view.ready(), revision: view.revision(),
						services: [...view.services().values()].map(({name}) => ({name, instances: view.instances(name).length})),
					};
				}

				case '/v1/explain': {
					return explainHealth(health, url.searchParams);
				}

				default: {
					return undefined;
				}
			}
		},
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
			if (message.type === 'members') {
				gate.updateMembers(message.members, clock.nowMs());
			}

			metrics.configRevision.set(view.revision());
		},
	});
	const beats = setInterval(() => {
		const clockMs = clock.nowMs();
		gate.beat(clockMs);
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
	return {
		port,
		operatorPort: operator.port,
		async shutdown() {
			const outcome = await shutdown.run();
			await attempts.close();
			clearInterval(beats);
			health.close();
			link.close();
			operator.close();
			logger.info('entry stopped', {outcome});
		},
	};
};
