/** Puts the gateway together: membership, spread of the catalogue, readers of the store, callers' listener, operators' interface. */

import http from 'node:http';
import type net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createCatalogue,
	createMembership,
	createPrefixRouteTable,
	createRandom,
	createReaderElection,
	createRetryWindow,
	createCatalogueSync,
	reconcileFullRead,
	fromReportRows,
	hashText,
	slackShareOf,
	toReportRows,
	type DispatchReport,
	type EntryHost,
	type MemberSend,
	type RetryWindow,
	type CatalogueSend,
	type ShutdownPlan,
} from '@egretwing/core';
import {
	createOperatorServer, createProcessClock, listen, handleClientError, type Logger,
} from '@egretwing/node';
import {createConfigDoubt} from './config-doubt.ts';
import {
	drainAcceptShare, drainEndShare, joinIntervalMs, maxReadHeadBytes, rejoinIntervalMs, tickIntervalMs, upkeepIntervalMs,
} from './constants.ts';
import {createDispatchers} from './dispatchers.ts';
import {createFleetView, type LocatedGateways} from './fleet-view.ts';
import {createHeadLimit} from './head.ts';
import {createMesh, type MeshMessage, type MeshPeer} from './mesh.ts';
import {createGatewayMetrics} from './metrics.ts';
import {createRequestLog} from './request-log.ts';
import {createServe, type ConfigOrigin} from './serve.ts';
import type {GatewaySettings} from './settings.ts';
import {createStoreReader} from './store-reader.ts';
import type {
	HeaderNames, StoreClient, StoreFailure, StoreRead, StoreTopic,
} from './types.ts';
import {createGate} from './gate.ts';
import {createUpstream} from './upstream.ts';

/** A running gateway. */
export type Gateway = {
	/** Gateways for the callers of a data centre; those heard of so far, for a short time, while this gateway does not know the fleet. */
	readonly locate: (dataCentre: string | undefined) => LocatedGateways;
	/** True when requests can be served and no shutdown was asked for. */
	readonly isReady: () => boolean;
	/** Takes other seeds. */
	readonly setSeeds: (addresses: readonly string[]) => void;
	/** Leaves the answers to callers, lets requests in flight end, answers those that are left, then closes everything. */
	readonly shutdown: () => Promise<void>;
};

/** What the gateway is given by the program that runs it. */
export type GatewayParts = {
	readonly store: StoreClient;
	readonly headerNames: HeaderNames;
	readonly logger: Logger;
};

const createSelf = (settings: GatewaySettings): EntryHost => {
	const {hostId, address, region, dataCentre, entryPort, locatePort, peerPort, capacity} = settings;
	return {
		role: 'entry', hostId, address, region, dataCentre, state: 'live', entryPort, locatePort, peerPort, capacity,
	};
};

/** Starts a gateway; rejects when an address can't be bound. */
export const startGateway = async (settings: GatewaySettings, {store, headerNames, logger}: GatewayParts): Promise<Gateway> => {
	const {hostId, peerPort} = settings;
	const {nowMs} = createProcessClock();
	const startedAtMs = nowMs();
	const incarnation = Date.now();
	const random = createRandom(hashText(`${hostId}/${incarnation}`));
	const self = createSelf(settings);
	const metrics = createGatewayMetrics();
	const catalogue = createCatalogue();
	const membership = createMembership({
		self, incarnation, random, nowMs: startedAtMs,
	});
	const election = createReaderElection(startedAtMs);
	const knownHosts = new Map<string, EntryHost>();
	const sentBytesByKind = new Map<string, number>();
	const retryWindows = new Map<string, RetryWindow>();
	const configDoubt = createConfigDoubt();
	const headLimit = createHeadLimit();
	let routes = createPrefixRouteTable([]);
	let configOrigin: ConfigOrigin | undefined;
	let seeds = settings.seedAddresses;
	let nextUpkeepMs = 0;
	let announcedUp = false;
	let stopPlan: ShutdownPlan | undefined;
	let nextJoinMs = 0;

	/** Opens once configuration and instances are known. */
	const whole = createGate();

	const fleet = createFleetView({
		self,
		membership,
		membersPerNamed: settings.membersPerNamed,
		nowMs,
		logger,
		onPresent(count) {
			metrics.members.set(count);
		},
	});

	const sendTo = (id: string, message: MeshMessage, transport: 'datagram' | 'stream'): void => {
		const host = fleet.hosts().get(id);
		if (host !== undefined) {
			mesh.send(host, message, transport);
		}
	};

	const sendMembers = (sends: readonly MemberSend[]): void => {
		for (const {to, transport, message} of sends) {
			mesh.send(to, {type: 'member', message}, transport);
		}
	};

	const sendSpread = (sends: readonly CatalogueSend[]): void => {
		for (const {to, transport, message} of sends) {
			sendTo(to, {type: 'spread', message}, transport);
		}
	};

	const spread = createCatalogueSync({
		selfId: hostId,
		catalogue,
		random,
		peerIds: fleet.peerIds,
		localPeerIds: fleet.nearPeerIds,
		isReceivingFrom(id) {
			const host = fleet.hosts().get(id);
			return host !== undefined && mesh.isArriving(host);
		},
		onChange({source, config, entries}) {
			if (config !== undefined) {
				routes = createPrefixRouteTable(config.routes);
				configOrigin = {source, sinceMs: nowMs()};
				configDoubt.noteInForce(nowMs());
				headLimit.take(config.limits, nowMs());
				// Runs on until the head of the next request is in, whose bytes may be that far apart.
				server.keepAliveTimeout = Math.max(config.limits.idleTimeoutMs, config.limits.headerTimeoutMs);
				metrics.configVersion.set(config.version);
				logger.info('configuration in force', {version: config.version, routes: config.routes.length, source});
				if (config.limits.maxHeaderBytes >= maxReadHeadBytes) {
					logger.warn('header limit of the configuration is larger than what is read', {maxHeaderBytes: config.limits.maxHeaderBytes, maxReadHeadBytes});
				}
			}

			for (const {instanceId, revision, record, isLapsed} of entries) {
				logger.info('instance changed', {
					instanceId, revision, service: record?.service, state: record?.state ?? 'removed', isLapsed, source,
				});
			}
		},
	});

	const tellSharers = (service: string, report: DispatchReport): void => {
		const rows = toReportRows(report);
		for (const id of fleet.sharerIds()) {
			sendTo(id, {type: 'load', service, rows}, 'datagram');
		}
	};

	const dispatchers = createDispatchers({
		dataCentre: settings.dataCentre, catalogue, random, nowMs, logger, isUnplaced: fleet.isUnplaced, tell: tellSharers,
		onState(service, {known, avoided, awaitingTrial, rested}) {
			for (const [state, count] of Object.entries({
				known, avoided, awaitingTrial, rested,
			})) {
				metrics.instances.set({service, state}, count);
			}
		},
	});

	const learnHosts = (hosts: readonly EntryHost[]): void => {
		const isNew = hosts.some(host => host.hostId !== hostId && !knownHosts.has(host.hostId));
		for (const host of hosts) {
			knownHosts.set(host.hostId, host);
		}

		if (isNew) {
			membership.setHostList([...knownHosts.values()].filter(host => host.hostId !== hostId));
		}
	};

	const receive = (from: MeshPeer, message: MeshMessage): void => {
		switch (message.type) {
			case 'member': {
				sendMembers(membership.receive(from, message.message, nowMs()));
				return;
			}

			case 'spread': {
				configDoubt.noteMessage(message.message, nowMs());
				sendSpread(spread.receive(from.hostId, message.message, nowMs()));
				announce();
				return;
			}

			case 'load': {
				dispatchers.hear(message.service, from.hostId, fromReportRows(message.rows));
				return;
			}

			case 'join': {
				learnHosts([message.host]);
				mesh.send(from, {type: 'hosts', hosts: [self, ...membership.members().map(({host}) => host)]}, 'stream');
				return;
			}

			case 'hosts': {
				learnHosts(message.hosts);
				return;
			}

			case 'store': {
				if (message.isReachable) {
					election.markReachable(from.hostId);
				} else {
					election.markUnreachable(from.hostId, nowMs());
				}
			}
		}
	};

	const mesh = await createMesh({
		hostId,
		address: settings.address,
		peerPort,
		onMessage: receive,
		onSent(kind, sizeBytes) {
			metrics.peerBytes.inc({kind}, sizeBytes);
			sentBytesByKind.set(kind, (sentBytesByKind.get(kind) ?? 0) + sizeBytes);
		},
		logger,
	});

	const tellStore = (isReachable: boolean): void => {
		for (const id of fleet.peerIds()) {
			sendTo(id, {type: 'store', isReachable}, 'datagram');
		}
	};

	const isReader = (): boolean => stopPlan === undefined && election.isReader(hostId, [...fleet.hosts().values()], nowMs(), whole.isAwaited());

	const onRead = (topic: StoreTopic, {config, entries, asOf}: StoreRead, isFull: boolean): void => {
		const statements = isFull && topic === 'instances' ? reconcileFullRead(entries, asOf, catalogue.entries(), false) : entries;
		if (config !== undefined) {
			configDoubt.noteRead();
		}

		sendSpread(spread.applyStoreRead({
			...(config !== undefined && {config}), ...(topic === 'instances' && {entries: statements, instancesAsOf: asOf}),
		}, nowMs()));
		announce();
	};

	const onFailure = (failure: StoreFailure): void => {
		election.markUnreachable(hostId, nowMs());
		tellStore(false);
		metrics.storeCalls.inc({topic: 'all', result: `handed over: ${failure}`});
	};

	const onReachable = (): void => {
		election.markReachable(hostId);
		tellStore(true);
	};

	const readers = (['config', 'instances'] as const).map(topic => createStoreReader({
		topic, client: store, nowMs, logger, metrics, isWanted: isReader, onRead, onFailure, onReachable,
		knownAsOf: () => topic === 'instances' ? catalogue.digest().instancesAsOf : -1,
	}));

	const upstream = createUpstream({
		nowMs,
		localAddress: settings.address,
		headerNames,
		onConnect() {
			metrics.connections.inc();
		},
	});

	const retryWindowOf = (service: string): RetryWindow => {
		const window = retryWindows.get(service) ?? createRetryWindow(settings.retryLimits);
		retryWindows.set(service, window);
		return window;
	};

	const log = createRequestLog(logger, nowMs);
	const serve = createServe({
		nowMs,
		random,
		catalogue,
		routes: () => routes,
		configOrigin: () => configOrigin,
		isConfigDoubtful: () => configDoubt.isDoubtful(catalogue.digest().configVersion, nowMs()),
		maxHeadBytes: () => headLimit.bytes(nowMs()),
		stopPlan: () => stopPlan,
		dispatchers,
		upstream,
		retryWindow: retryWindowOf,
		retrySlackShare: () => slackShareOf(fleet.placedIds().includes(hostId), fleet.placedIds().length, fleet.hosts().size),
		headerNames,
		metrics,
		log,
		async whenWhole(signal) {
			const opened = whole.wait(signal);
			for (const reader of readers) {
				reader.tick();
			}

			return opened;
		},
	});

	const handle = async (incoming: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		if (stopPlan !== undefined) {
			response.setHeader('connection', 'close');
		}

		try {
			await serve(incoming, response);
		} catch (error) {
			logger.error('request failed', {error: error instanceof Error ? error.stack : String(error)});
			response.destroy();
		}
	};

	// The limit of the configuration is enforced per request, so that a change holds on open connections as well.
	// A request without a host is refused per request as well, since the library leaves no trace of such a refusal.
	const server = http.createServer({
		requestTimeout: 0, headersTimeout: 0, keepAlive: true, maxHeaderSize: maxReadHeadBytes, requireHostHeader: false,
	}, handle);
	// Beyond the default count, Node.js drops headers without a word; their size is bounded.
	server.maxHeadersCount = 0;
	// What a caller expects concerns its connection to the gateway alone; unknown wishes are no reason for 417.
	server.on('checkExpectation', handle);
	server.on('clientError', (error, socket) => {
		const {
			code, kind, isServing, isFromParser, readBytes,
		} = handleClientError(error, socket as net.Socket);
		metrics.unreadable.inc({code, kind: kind ?? 'none', serving: String(isServing)});
		if (isFromParser) {
			log('unreadable', {
				code, kind, isServing, readBytes,
			});
		}
	});

	const join = (): void => {
		const timeMs = nowMs();
		if (timeMs < nextJoinMs) {
			return;
		}

		nextJoinMs = timeMs + (fleet.peerIds().length === 0 ? joinIntervalMs : rejoinIntervalMs * (0.5 + random.next()));
		const known = new Set([settings.address, ...Array.from(fleet.hosts().values(), host => host.address)]);
		for (const address of seeds) {
			if (!known.has(address)) {
				mesh.send({address, peerPort}, {type: 'join', host: self}, 'datagram');
			}
		}
	};

	const announce = (): void => {
		if (!announcedUp && stopPlan === undefined && catalogue.isComplete()) {
			announcedUp = true;
			whole.open();
			logger.info('ready', {configVersion: catalogue.digest().configVersion, instancesAsOf: catalogue.digest().instancesAsOf, afterMs: Math.round(nowMs() - startedAtMs)});
			sendMembers(membership.setEntryState('up', incarnation, nowMs()));
		}
	};

	const tick = (): void => {
		const timeMs = nowMs();
		join();
		sendMembers(membership.tick(timeMs));
		fleet.refresh();
		catalogue.tick(timeMs);
		sendSpread(spread.tick(timeMs));
		for (const id of spread.takeUnresponsivePeers()) {
			const host = fleet.hosts().get(id);
			if (host !== undefined) {
				mesh.renew(host);
			}
		}

		announce();
		for (const reader of readers) {
			reader.tick();
		}

		dispatchers.tick();
		if (timeMs >= nextUpkeepMs) {
			nextUpkeepMs = timeMs + upkeepIntervalMs;
			upstream.retain(new Set(catalogue.entries().map(({instanceId}) => instanceId)));
		}
	};

	const openOperator = async () => createOperatorServer({
		address: settings.address,
		port: settings.operatorPort,
		registry: metrics.registry,
		handle: (_method, url) => url.pathname === '/v1/status'
			? {
				program: 'egretwing-gateway', hostId, ready: announcedUp && stopPlan === undefined, digest: catalogue.digest(), members: membership.members(), services: dispatchers.snapshots(),
			}
			: undefined,
	});

	const openListeners = async () => {
		try {
			await listen(server, settings.entryPort, settings.address);
			return await openOperator();
		} catch (error) {
			mesh.close();
			server.close();
			throw error;
		}
	};

	const operator = await openListeners();
	const ticks = setInterval(tick, tickIntervalMs);
	logger.info('gateway listens', {
		address: settings.address, entryPort: settings.entryPort, peerPort, dataCentre: settings.dataCentre,
	});

	const connectionsLeft = async (): Promise<number> => new Promise(resolve => {
		server.getConnections((error, count) => {
			resolve(error === null ? count : 0);
		});
	});

	const shutdown = async (): Promise<void> => {
		const beganAtMs = nowMs();
		stopPlan = {beganAtMs, endsAtMs: beganAtMs + (settings.shutdownMs * drainEndShare)};
		logger.info('shutdown begun', {connections: await connectionsLeft()});
		sendMembers(membership.setEntryState('draining', incarnation, beganAtMs));
		await delay(settings.shutdownMs * drainAcceptShare);
		server.close();
		server.closeIdleConnections();
		while (nowMs() < stopPlan.endsAtMs && await connectionsLeft() > 0) {
			await delay(tickIntervalMs);
			server.closeIdleConnections();
		}

		const waiting = dispatchers.stop();
		upstream.close();
		logger.info('shutdown ended', {
			connections: await connectionsLeft(), waiting, tookMs: Math.round(nowMs() - beganAtMs), peerSentBytes: Object.fromEntries(sentBytesByKind),
		});
		sendMembers(membership.leave(nowMs()));
		for (const reader of readers) {
			reader.stop();
		}

		await delay(tickIntervalMs);
		clearInterval(ticks);
		store.close();
		operator.close();
		mesh.close();
		server.closeAllConnections();
	};

	let ending: Promise<void> | undefined;
	return {
		locate: dataCentre => fleet.locate(dataCentre, stopPlan !== undefined),
		isReady: () => announcedUp && stopPlan === undefined,
		setSeeds(addresses) {
			seeds = addresses;
			nextJoinMs = 0;
		},
		async shutdown() {
			ending ??= shutdown();
			return ending;
		},
	};
};
