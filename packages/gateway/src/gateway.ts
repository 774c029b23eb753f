/** Wires the parts of the gateway: membership, catalogue synchronisation, store readers, caller listener and operators' interface. */

import http from 'node:http';
import type net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {getHeapStatistics} from 'node:v8';
import {
	createCatalogue,
	createMembership,
	createMemoryBudget,
	isMemoryShort,
	memoryLimitBytes,
	objectLimitBytes,
	createPrefixRouteTable,
	createWorkspaceAccess,
	createRandom,
	createReaderElection,
	createReaderWatch,
	createRetryWindow,
	createCatalogueSync,
	reconcileFullRead,
	revisionOf,
	fromReportRows,
	hashText,
	slackShareOf,
	toReportRows,
	type DispatchReport,
	type EntryHost,
	type InstanceRun,
	type MemberSend,
	type RetryWindow,
	type CatalogueSend,
	type ShutdownPlan,
} from '@egretwing/core';
import {
	createErrorBarrier, createLagMeter, createOperatorServer, createProcessClock, describeProcess, digestKey, listen,
	handleClientError, openWhenFree, readResidentBytes, trackCallerConnections, type ErrorBarrier, type Logger, type OperatorServer, type ProcessMetrics,
} from '@egretwing/node';
import {createConfigStaleness} from './config-staleness.ts';
import {
	drainAcceptShare, drainEndShare, headCheckIntervalMs, joinIntervalMs, maxReadHeadBytes, processLogIntervalMs, rejoinIntervalMs, tickIntervalMs, connectionCleanupIntervalMs,
} from './constants.ts';
import {connectionShares} from './connection-shares.ts';
import {createDeliver} from './deliver.ts';
import {createDispatchers} from './dispatchers.ts';
import {createFleetView, type LocatedGateways} from './fleet-view.ts';
import {createHedging} from './hedging.ts';
import {createHeadLimit} from './head.ts';
import {createMesh, type MeshMessage, type MeshPeer} from './mesh.ts';
import {createGatewayMetrics} from './metrics.ts';
import {createPeerEndWatch} from './peer-ends.ts';
import {createRequestLog} from './request-log.ts';
import {createQuotas} from './quotas.ts';
import {createServe, isMissingHost, type ConfigOrigin} from './serve.ts';
import type {GatewaySettings} from './settings.ts';
import {createStoreReader, type StoreReader, type StoreReaderOptions} from './store-reader.ts';
import type {
	CoveredRead, HeaderNames, StoreClient, StoreFailure, StoreTopic,
} from './types.ts';
import {createLatch} from './latch.ts';
import {createUpstream} from './upstream.ts';

/** A running gateway. */
export type Gateway = {
	/** Gateways for callers of a data centre. While this gateway does not know the fleet: those known so far, with a short time to live. */
	readonly locate: (dataCentre: string | undefined) => LocatedGateways;
	/** Whether requests can be served and no shutdown has begun. */
	readonly isReady: () => boolean;
	/** Replaces the seed addresses. */
	readonly setSeeds: (addresses: readonly string[]) => void;
	/** Leaves the placement of callers, waits for requests in flight, answers those that are left and closes everything. */
	readonly shutdown: () => Promise<void>;
	/** Counts and logs a connection of another listener that was closed to keep a limit. */
	readonly recordClosed: (listener: string, reason: string) => void;
	/** Metrics of the process, which the program that runs the gateway counts. */
	readonly processMetrics: ProcessMetrics;
	/** Where errors go that no code expected. */
	readonly errors: ErrorBarrier;
};

/** What a reader says of the store. */
type StoreState = Extract<MeshMessage, {type: 'store'}>;

/** Dependencies that the program passes to the gateway. */
export type GatewayDependencies = {
	readonly store: StoreClient;
	readonly headerNames: HeaderNames;
	readonly logger: Logger;
	/** Resident memory of the process. */
	readonly residentBytes?: () => number | undefined;
};

const createSelfHost = (settings: GatewaySettings): EntryHost => {
	const {hostId, address, region, dataCentre, entryPort, locatePort, peerPort, capacity} = settings;
	return {
		role: 'entry', hostId, address, region, dataCentre, state: 'live', entryPort, locatePort, peerPort, capacity,
	};
};

/** Starts a gateway; rejects when an address can't be bound. */
export const startGateway = async (settings: GatewaySettings, {
	store, headerNames, logger, residentBytes = readResidentBytes,
}: GatewayDependencies): Promise<Gateway> => {
	const {hostId, peerPort} = settings;
	const {nowMs} = createProcessClock();
	const startedAtMs = nowMs();
	const incarnation = Date.now();
	const random = createRandom(hashText(`${hostId}/${incarnation}`));
	const self = createSelfHost(settings);
	const metrics = createGatewayMetrics();
	const errors = createErrorBarrier({logger, nowMs, unexpectedErrors: metrics.process.unexpectedErrors});
	const catalogue = createCatalogue();
	const membership = createMembership({
		self, incarnation, random, nowMs: startedAtMs,
	});
	const election = createReaderElection(startedAtMs);
	const readerWatch = createReaderWatch(random);
	const knownHosts = new Map<string, EntryHost>();
	const sentBytesByKind = new Map<string, number>();
	const retryWindows = new Map<string, RetryWindow>();
	const configStaleness = createConfigStaleness();
	const headLimit = createHeadLimit();
	const peerEnds = createPeerEndWatch();
	const tickLag = createLagMeter(tickIntervalMs);
	let routes = createPrefixRouteTable([]);
	let access = createWorkspaceAccess({}, digestKey);
	let configOrigin: ConfigOrigin | undefined;
	let seeds = settings.seedAddresses;
	let nextCleanupMs = 0;
	let nextProcessLogMs = startedAtMs + processLogIntervalMs;
	let wasMemoryShort = false;
	let hasAnnouncedUp = false;
	let shutdownPlan: ShutdownPlan | undefined;
	let nextJoinMs = 0;

	/** Opened once configuration and instances are known. */
	const catalogueReady = createLatch();

	const fleet = createFleetView({
		self,
		membership,
		membersPerNamed: settings.membersPerNamed,
		nowMs,
		logger,
		onPresent(count) {
			metrics.members.set(count);
		},
		onMembers(members) {
			for (const end of peerEnds.observe(members)) {
				metrics.peerEnds.inc({how: end.how});
				logger.info('gateway ended', {...end});
			}
		},
	});

	const sendTo = (id: string, message: MeshMessage, transport: 'datagram' | 'stream'): void => {
		const host = fleet.hosts().get(id);
		if (host !== undefined) {
			mesh.send(host, message, transport);
		}
	};

	const sendMemberMessages = (sends: readonly MemberSend[]): void => {
		for (const {to, transport, message} of sends) {
			mesh.send(to, {type: 'member', message}, transport);
		}
	};

	const sendCatalogueMessages = (sends: readonly CatalogueSend[]): void => {
		for (const {to, transport, message} of sends) {
			sendTo(to, {type: 'spread', message}, transport);
		}
	};

	const catalogueSync = createCatalogueSync({
		selfId: hostId,
		catalogue,
		random,
		peerIds: fleet.peerIds,
		localPeerIds: fleet.localPeerIds,
		dataCentreOf: id => fleet.hosts().get(id)?.dataCentre ?? settings.dataCentre,
		isReceivingFrom(id) {
			const host = fleet.hosts().get(id);
			return host !== undefined && mesh.isReceivingFrom(host);
		},
		onChange({
			source, messageType, knownAsOf, completeAsOf, config, entries,
		}) {
			if (config !== undefined) {
				routes = createPrefixRouteTable(config.routes);
				access = createWorkspaceAccess(config, digestKey);
				quotas.setWorkspaces(config.workspaces);
				configOrigin = {source, sinceMs: nowMs()};
				configStaleness.recordInForce(nowMs());
				headLimit.take(config.limits, nowMs());
				// Node.js applies this timeout until the head of the next request is complete, which may take `headerTimeoutMs`.
				server.keepAliveTimeout = Math.max(config.limits.idleTimeoutMs, config.limits.headerTimeoutMs);
				server.headersTimeout = config.limits.headerTimeoutMs;
				metrics.configVersion.set(config.version);
				logger.info('configuration in force', {
					version: config.version, routes: config.routes.length, workspaces: config.workspaces?.length, source,
				});
				if (config.limits.maxHeaderBytes >= maxReadHeadBytes) {
					logger.warn('configured header limit exceeds the limit of the parser', {maxHeaderBytes: config.limits.maxHeaderBytes, maxReadHeadBytes});
				}
			}

			for (const {
				instanceId, revision, record, isLapsed, isDelayed,
			} of entries) {
				logger.info('instance changed', {
					instanceId,
					revision: revisionOf(revision),
					service: record?.service,
					state: record?.state ?? 'removed',
					isLapsed,
					isDelayed,
					source,
					messageType,
					knownAsOf: revisionOf(knownAsOf),
					completeAsOf: revisionOf(completeAsOf),
				});
			}
		},
	});

	const quotas = createQuotas({
		hostId,
		limits: settings.quotaLimits,
		random,
		nowMs,
		fleet,
		members: membership.members,
		seedCount: () => seeds.filter(address => address !== settings.address).length,
		metrics,
		send(id, report) {
			sendTo(id, {type: 'quota', report}, 'datagram');
		},
	});

	const sendReportToPeers = (service: string, report: DispatchReport): void => {
		const rows = toReportRows(report);
		for (const id of fleet.recentlyPlacedPeerIds()) {
			sendTo(id, {type: 'load', service, rows}, 'datagram');
		}
	};

	const dispatchers = createDispatchers({
		dataCentre: settings.dataCentre, catalogue, random, nowMs, logger, isUnplaced: fleet.isUnplaced, errors, sendReport: sendReportToPeers,
		onState(service, {known, avoided, awaitingTrial, rested, paused, contention}) {
			for (const [state, count] of Object.entries({
				known, avoided, awaitingTrial, rested, paused,
			})) {
				metrics.instances.set({service, state}, count);
			}

			for (const [state, count] of Object.entries(contention ?? {})) {
				metrics.contention.set({service, state}, count);
			}
		},
	});

	/** Returns false when it is known that the instance leaves. */
	const markLeaving = (run: InstanceRun, source: string): boolean => {
		const isNew = catalogue.markLeaving(run, nowMs());
		if (isNew) {
			logger.info('instance leaving', {...run, source});
		}

		return isNew;
	};

	const addKnownHosts = (hosts: readonly EntryHost[]): void => {
		const isNew = hosts.some(host => host.hostId !== hostId && !knownHosts.has(host.hostId));
		for (const host of hosts) {
			knownHosts.set(host.hostId, host);
		}

		if (isNew) {
			membership.setHostList([...knownHosts.values()].filter(host => host.hostId !== hostId));
		}
	};

	const broadcastStoreState = (state: Omit<StoreState, 'type'>): void => {
		for (const id of fleet.peerIds()) {
			sendTo(id, {type: 'store', ...state}, 'datagram');
		}
	};

	const isReader = (): boolean =>
		election.isReader(hostId, fleet.readerCandidates(), nowMs(), catalogueReady.hasWaiters() || readerWatch.isSilent());

	/** Pings the readers of the store, which this gateway replaces while it hears from none of them. */
	const watchReaders = (): void => {
		const wasSilent = readerWatch.isSilent();
		const readerIds = election.readers(hostId, fleet.readerCandidates(), nowMs());
		const watchedIds = readerIds.includes(hostId) ? [] : readerIds;
		for (const id of readerWatch.tick(watchedIds, fleet.hosts().size, nowMs())) {
			sendMemberMessages(membership.ping(id));
		}

		if (readerWatch.isSilent() && !wasSilent) {
			metrics.readerSilences.inc();
			logger.warn('store readers silent', {readers: watchedIds});
		}

		if (wasSilent && !readerWatch.isSilent()) {
			logger.info('store readers heard again', {readers: readerIds});
		}
	};

	const onRead = (topic: StoreTopic, {
		config, entries, asOf, missingUsableForMs, coverage,
	}: CoveredRead, isFull: boolean): void => {
		const lapse = missingUsableForMs === undefined ? false : {usableForMs: missingUsableForMs};
		const reconciled = isFull && topic === 'instances' ? reconcileFullRead(entries, asOf, catalogue.entries(), lapse) : entries;
		if (config !== undefined) {
			configStaleness.recordRead();
		}

		sendCatalogueMessages(catalogueSync.applyStoreRead({
			...(config !== undefined && {config}), ...(topic === 'instances' && {entries: reconciled, instancesAsOf: asOf, coverage}),
		}, nowMs()));
		announceReady();
	};

	const onFailure = (failure: StoreFailure, failingForMs: number): void => {
		election.markUnreachable(hostId, nowMs());
		broadcastStoreState({isReachable: false, failingForMs});
		metrics.storeCalls.inc({topic: 'all', result: `handed over: ${failure}`});
	};

	const onReachable = (): void => {
		election.markReachable(hostId);
		broadcastStoreState({isReachable: true});
	};

	const createReader = (topic: StoreTopic, known: Pick<StoreReaderOptions, 'knownAsOf' | 'completeAsOf'>): StoreReader => createStoreReader({
		topic, client: store, nowMs, logger, metrics, errors, isWanted: isReader, onRead, onFailure, onReachable, ...known,
	});

	const instancesReader = createReader('instances', {knownAsOf: () => catalogue.digest().instancesAsOf, completeAsOf: () => catalogue.completeness().asOf});
	const readers = [createReader('config', {knownAsOf: () => -1, completeAsOf: () => -1}), instancesReader];

	const receiveStoreState = (from: string, {isReachable, failingForMs = 0, readingForMs}: StoreState): void => {
		if (!isReachable) {
			election.markUnreachable(from, nowMs());
			instancesReader.observeOtherFailure(failingForMs);
			return;
		}

		election.markReachable(from);
		if (readingForMs !== undefined) {
			instancesReader.observeOther(readingForMs);
			return;
		}

		instancesReader.observeOtherSuccess();

		const ownReadingForMs = instancesReader.readingForMs();
		if (ownReadingForMs !== undefined) {
			sendTo(from, {type: 'store', isReachable: true, readingForMs: ownReadingForMs}, 'datagram');
		}
	};

	const receive = (from: MeshPeer, message: MeshMessage): void => {
		readerWatch.recordContact(from.hostId, nowMs());
		switch (message.type) {
			case 'member': {
				sendMemberMessages(membership.receive(from, message.message, nowMs()));
				return;
			}

			case 'spread': {
				configStaleness.recordMessage(message.message, nowMs());
				sendCatalogueMessages(catalogueSync.receive(from.hostId, message.message, nowMs()));
				announceReady();
				return;
			}

			case 'load': {
				dispatchers.receiveReport(message.service, from.hostId, fromReportRows(message.rows));
				return;
			}

			case 'join': {
				addKnownHosts([message.host]);
				mesh.send(from, {type: 'hosts', hosts: [self, ...membership.members().map(({host}) => host)]}, 'stream');
				return;
			}

			case 'hosts': {
				addKnownHosts(message.hosts);
				return;
			}

			case 'leaving': {
				markLeaving(message.run, from.hostId);
				return;
			}

			case 'quota': {
				quotas.receive(from.hostId, message.report);
				return;
			}

			case 'store': {
				receiveStoreState(from.hostId, message);
			}
		}
	};

	/** Spares the gateways with requests the question; one that the message does not reach asks the instance itself. */
	const tellLeaving = (run: InstanceRun): void => {
		for (const id of fleet.recentlyPlacedPeerIds()) {
			sendTo(id, {type: 'leaving', run}, 'datagram');
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
		errors,
	});

	const memory = createMemoryBudget(memoryLimitBytes(settings.memoryMegabytes), objectLimitBytes(getHeapStatistics().heap_size_limit));
	const log = createRequestLog(logger, nowMs);
	const upstream = createUpstream({
		nowMs,
		localAddress: settings.address,
		headerNames,
		errors,
		memory,
		onConnect() {
			metrics.connections.inc();
		},
		onNotice({service, ...run}, notice, answer) {
			log('instance notice', {...answer, instanceId: run.instanceId, ...notice});
			if (notice.isLeaving && markLeaving(run, 'answer')) {
				tellLeaving(run);
			}

			if (notice.pauseMs !== undefined) {
				dispatchers.pause(service, run, notice.pauseMs);
			}
		},
	});

	const retryWindowOf = (service: string): RetryWindow => {
		const window = retryWindows.get(service) ?? createRetryWindow(settings.retryLimits);
		retryWindows.set(service, window);
		return window;
	};

	const deliver = createDeliver({
		nowMs, configVersion: () => catalogue.digest().configVersion, isStopping: () => shutdownPlan !== undefined, metrics, log,
	});
	const serve = createServe({
		nowMs,
		random,
		catalogue,
		routes: () => routes,
		access: () => access,
		configOrigin: () => configOrigin,
		isConfigPossiblyStale: () => configStaleness.isPossiblyStale(catalogue.digest().configVersion, nowMs()),
		maxHeadBytes: () => headLimit.bytes(nowMs()),
		shutdownPlan: () => shutdownPlan,
		dispatchers,
		quotas,
		upstream,
		memory,
		hedging: createHedging({
			limits: settings.hedging, nowMs, metrics, log,
		}),
		retryWindow: retryWindowOf,
		retrySlackShare: () => slackShareOf(fleet.placedIds().includes(hostId), fleet.placedIds().length, fleet.hosts().size),
		headerNames,
		metrics,
		log,
		deliver,
		async waitUntilComplete(signal) {
			const opened = catalogueReady.wait(signal);
			for (const reader of readers) {
				reader.tick();
			}

			return opened;
		},
	});

	const handle = async (incoming: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		const exchange = callers.begin(incoming, response, isMissingHost(incoming));
		try {
			await serve(incoming, response, exchange);
		} catch (error) {
			errors.record('request', error);
			await exchange.untilTurn();
			incoming.socket.destroy();
		}
	};

	const handleGuarded = (incoming: http.IncomingMessage, response: http.ServerResponse): void => {
		errors.run('request', async () => handle(incoming, response));
	};

	// The configured head limit is checked per request, so that a change also applies to open connections. A missing host header
	// is checked per request as well, since Node.js would refuse it without an event that could be logged or counted.
	const server = http.createServer({
		requestTimeout: 0, headersTimeout: 0, connectionsCheckingInterval: headCheckIntervalMs, keepAlive: true, maxHeaderSize: maxReadHeadBytes, requireHostHeader: false,
	}, handleGuarded);
	// By default Node.js silently drops headers beyond a count; here their total size is limited instead.
	server.maxHeadersCount = 0;
	// The expect header concerns only the caller's connection to the gateway; an unknown expectation is ignored instead of answered by 417.
	server.on('checkExpectation', handleGuarded);
	const shares = connectionShares(settings.maxDescriptors);
	const closedAt = (listener: string) => (reason: string): void => {
		metrics.closedCallers.inc({listener, reason});
		log('caller closed', {listener, reason});
	};

	const callers = trackCallerConnections(server, {
		memory, maxConnections: shares.callers, onClosed: closedAt('front'),
	});
	// The closing of idle connections by Node.js also closes one whose last answer is not sent completely, or that has pipelined requests.
	server.closeIdleConnections = callers.closeIdle;
	const endUnreadable = (error: Error, socket: net.Socket): void => {
		const {
			code, kind, isServing, isFromParser, readBytes,
		} = handleClientError(error, socket);
		metrics.unreadable.inc({code, kind: kind ?? 'none', serving: String(isServing)});
		if (isFromParser) {
			log('unreadable', {
				code, kind, isServing, readBytes,
			});
		}
	};

	server.on('clientError', (error, socket) => {
		// A head that is not complete because the gateway itself stopped reading is not the caller's fault.
		if ((error as NodeJS.ErrnoException).code === 'ERR_HTTP_REQUEST_TIMEOUT' && callers.isReadPaused(socket as net.Socket)) {
			return;
		}

		errors.run('unreadable', () => {
			callers.handleUnreadable(error, socket as net.Socket, endUnreadable);
		});
	});

	const joinSeeds = (): void => {
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

	const announceReady = (): void => {
		if (!hasAnnouncedUp && shutdownPlan === undefined && catalogue.isComplete()) {
			hasAnnouncedUp = true;
			catalogueReady.open();
			logger.info('ready', {configVersion: catalogue.digest().configVersion, instancesAsOf: catalogue.digest().instancesAsOf, afterMs: Math.round(nowMs() - startedAtMs)});
			sendMemberMessages(membership.setEntryState('up', incarnation, nowMs()));
		}
	};

	const countConnections = async (): Promise<number> => new Promise(resolve => {
		server.getConnections((error, count) => {
			resolve(error === null ? count : 0);
		});
	});

	const logProcess = async (): Promise<void> => {
		logger.info('process state', {
			...describeProcess(),
			heldBytes: memory.heldBytes(),
			heldLimitBytes: memory.limitBytes,
			objectBytes: memory.objectBytes(),
			objectLimitBytes: memory.objectLimitBytes,
			maxLagMs: Math.round(tickLag.takeMaxMs()),
			connections: await countConnections(),
		});
	};

	const watchMemory = (): void => {
		const bytes = residentBytes();
		const isShort = bytes === undefined ? wasMemoryShort : isMemoryShort(bytes, settings.memoryMegabytes);
		memory.setShort(isShort);
		metrics.heldBytes.set(memory.heldBytes());
		metrics.objectBytes.set(memory.objectBytes());
		if (isShort !== wasMemoryShort) {
			wasMemoryShort = isShort;
			logger.warn(isShort ? 'memory short' : 'memory no longer short', {residentBytes: bytes, heldBytes: memory.heldBytes(), memoryMegabytes: settings.memoryMegabytes});
		}
	};

	const reconnectUnresponsive = (): void => {
		for (const id of catalogueSync.takeUnresponsivePeers()) {
			const host = fleet.hosts().get(id);
			if (host !== undefined) {
				mesh.reconnect(host);
			}
		}
	};

	const tickReaders = (): void => {
		for (const reader of readers) {
			reader.tick();
		}
	};

	const reportProcess = async (timeMs: number): Promise<void> => {
		if (timeMs >= nextProcessLogMs) {
			nextProcessLogMs = timeMs + processLogIntervalMs;
			await logProcess();
		}
	};

	const cleanUpIfDue = (timeMs: number): void => {
		if (timeMs >= nextCleanupMs) {
			nextCleanupMs = timeMs + connectionCleanupIntervalMs;
			upstream.retain(new Set(catalogue.entries().map(({instanceId}) => instanceId)));
		}
	};

	/** The parts of the periodic work, in order. One that fails does not keep the others from their turn. */
	const tickParts: ReadonlyArray<readonly [place: string, run: (timeMs: number) => unknown]> = [
		['join', joinSeeds],
		['membership', timeMs => {
			sendMemberMessages(membership.tick(timeMs));
		}],
		['fleet', fleet.refresh],
		['catalogue', catalogue.tick],
		['catalogue-sync', timeMs => {
			sendCatalogueMessages(catalogueSync.tick(timeMs));
		}],
		['reconnect', reconnectUnresponsive],
		['ready', announceReady],
		['reader-watch', watchReaders],
		['readers', tickReaders],
		['dispatch', dispatchers.tick],
		['quota', quotas.tick],
		['memory', watchMemory],
		['process', reportProcess],
		['cleanup', cleanUpIfDue],
	];

	const tick = (): void => {
		const timeMs = nowMs();
		tickLag.record(timeMs);
		for (const [place, run] of tickParts) {
			errors.run(place, () => run(timeMs));
		}
	};

	const openOperator = async () => createOperatorServer({
		address: settings.address,
		port: settings.operatorPort,
		registry: metrics.registry,
		errors,
		maxConnections: shares.operators,
		onClosed: closedAt('operator'),
		handle: (_method, url) => url.pathname === '/v1/status'
			? {
				program: 'egretwing-gateway', hostId, ready: hasAnnouncedUp && shutdownPlan === undefined, digest: catalogue.digest(), members: membership.members(), services: dispatchers.snapshots(),
			}
			: undefined,
	});

	try {
		await listen(server, settings.entryPort, settings.address);
	} catch (error) {
		mesh.close();
		server.close();
		throw error;
	}

	let operator: OperatorServer | undefined;
	const operatorWait = new AbortController();
	// Callers are served whether or not the metrics can be read.
	errors.run('operator', async () => {
		operator = await openWhenFree(openOperator, {listener: 'operator', logger, signal: operatorWait.signal});
	});
	const tickTimer = setInterval(tick, tickIntervalMs);
	logger.info('gateway listens', {
		address: settings.address, entryPort: settings.entryPort, peerPort, dataCentre: settings.dataCentre,
	});

	const shutdown = async (): Promise<void> => {
		const beganAtMs = nowMs();
		shutdownPlan = {beganAtMs, endsAtMs: beganAtMs + (settings.shutdownMs * drainEndShare)};
		logger.info('shutdown begun', {connections: await countConnections()});
		sendMemberMessages(membership.setEntryState('draining', incarnation, beganAtMs));
		await delay(settings.shutdownMs * drainAcceptShare);
		server.close();
		server.closeIdleConnections();
		while (nowMs() < shutdownPlan.endsAtMs && await countConnections() > 0) {
			await delay(tickIntervalMs);
			server.closeIdleConnections();
		}

		const waiting = dispatchers.stop();
		upstream.close();
		logger.info('shutdown ended', {
			connections: await countConnections(), waiting, tookMs: Math.round(nowMs() - beganAtMs), peerSentBytes: Object.fromEntries(sentBytesByKind),
		});
		sendMemberMessages(membership.leave(nowMs()));
		for (const reader of readers) {
			reader.stop();
		}

		await delay(tickIntervalMs);
		clearInterval(tickTimer);
		store.close();
		operatorWait.abort();
		operator?.close();
		mesh.close();
		server.closeAllConnections();
	};

	let shutdownPromise: Promise<void> | undefined;
	return {
		recordClosed(listener, reason) {
			closedAt(listener)(reason);
		},
		processMetrics: metrics.process,
		errors,
		locate: dataCentre => fleet.locate(dataCentre, shutdownPlan !== undefined),
		isReady: () => hasAnnouncedUp && shutdownPlan === undefined,
		setSeeds(addresses) {
			seeds = addresses;
			nextJoinMs = 0;
		},
		async shutdown() {
			shutdownPromise ??= shutdown();
			return shutdownPromise;
		},
	};
};
