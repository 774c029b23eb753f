/** Assembles the agent: fleet synchronisation, platform feeds, connection to the entry, locate and operators' interfaces. */

import {setTimeout as delay} from 'node:timers/promises';
import {
	createRandom, hashText, messageVersion,
	type ConfigRecord, type EntryHost, type EntryToAgent, type HostList,
} from '@egretwing/core';
import {
	createErrorBarrier, createLogger, createOperatorServer, createProcessClock, type Logger,
} from '@egretwing/node';
import {createEntryLink, type EntryLink} from './entry-link.ts';
import {createEntryMonitor} from './entry-monitor.ts';
import {createFleetSync, type FleetSync} from './fleet-sync.ts';
import {createKeyIssuer} from './key-issue.ts';
import {createLocateServer} from './locate.ts';
import {createAgentMetrics} from './metrics.ts';
import {createPeers, type Peers} from './peers.ts';
import {followHosts, followRecords} from './platform-feed.ts';
import type {AgentSettings} from './settings.ts';
import {createFleetState} from './fleet-state.ts';

const tickIntervalMs = 50;

/** Time for the fleet to learn that this agent leaves, before it stops responding. */
const leavePropagationMs = 1000;

/** Time after which an agent that is not a relay reads the configuration service itself, if no peer has sent a configuration. */
const peerWaitMs = 2000;

/** A running agent. */
export type Agent = {
	readonly locatePort: number;
	readonly agentPort: number;
	readonly operatorPort: number;
	/** Announces the departure, waits until the fleet has learned of it, and closes everything. */
	readonly shutdown: () => Promise<void>;
};

const createOwnHost = (settings: AgentSettings): EntryHost => {
	const {hostId, address, region, dataCentre, entryPort, locatePort, peerPort} = settings;
	return {
		role: 'entry', hostId, address, region, dataCentre, state: 'live', entryPort, locatePort, peerPort,
	};
};

/** Only relays read the configuration service; other agents do so only if no peer has sent a configuration in time. */
const createReadPolicy = (fleetSync: FleetSync, nowMs: () => number): (() => boolean) => {
	const startMs = nowMs();
	return () => {
		if (!fleetSync.isTrusted()) {
			return false;
		}

		const isLate = !fleetSync.isReady() && nowMs() - startMs >= peerWaitMs;
		if (fleetSync.isRelay() || isLate) {
			return true;
		}

		fleetSync.recordFeedSkipped();
		return false;
	};
};

const startPeers = async (settings: AgentSettings, fleetSync: FleetSync, onRefused: (reason: string) => void): Promise<Peers> => createPeers({
	hostId: settings.hostId,
	address: settings.address,
	peerPort: settings.peerPort,
	fleetKeys: settings.fleetKeys,
	startedMs: Date.now(),
	onMessage: fleetSync.receive,
	onRefused,
});

const logRefusedMessage = (logger: Logger, reason: string): void => {
	logger.debug('message of another agent refused', {reason});
};

/** Starts an agent; rejects if an address can't be bound. */
export const startAgent = async (settings: AgentSettings): Promise<Agent> => {
	const {hostId} = settings;
	const logger = createLogger('egretwing-agent', hostId, settings.logLevel);
	const {nowMs} = createProcessClock();
	const incarnation = Date.now();
	const random = createRandom(hashText(`${hostId}/${incarnation}`));
	const keyIssuer = createKeyIssuer({nowMs});
	const entryMonitor = createEntryMonitor();
	/** Drops messages until the listener for the entry is open. */
	let sendToEntry: EntryLink['send'] = () => undefined;
	let isLeaving = false;
	let announced = {state: 'down', incarnation: 0};
	let sentMemberVersion = -1;
	let wasReady = false;

	const fleetSync: FleetSync = createFleetSync({
		self: createOwnHost(settings),
		incarnation,
		random,
		nowMs,
		peers: () => peers,
		relaysPerDataCentre: settings.relaysPerDataCentre,
		onRecords(records) {
			sendRecords(records);
		},
		onRefused(refused) {
			metrics.refusedRecords.inc(refused.length);
			for (const record of refused) {
				logger.warn('record refused', record);
			}
		},
		hostList: () => fleetState.hostList(),
		onHostList(list) {
			applyHostList(list);
		},
		onEntryMessage(from, body) {
			sendToEntry({
				type: 'delivered', version: messageVersion, from, body,
			});
		},
	});
	const fleetState = createFleetState({
		store: fleetSync.store, memberViews: fleetSync.members, ready: fleetSync.isReady, random,
	});
	const metrics = createAgentMetrics(() => fleetSync, () => peers);

	const updateEntryState = (): void => {
		const seen = entryMonitor.check(nowMs(), fleetSync.isReady());
		if (isLeaving || (seen.state === announced.state && seen.incarnation === announced.incarnation)) {
			return;
		}

		announced = seen;
		logger.info('entry state changed', seen);
		fleetSync.setEntryState(seen.state, seen.incarnation);
	};

	const handleEntryMessage = (message: EntryToAgent): void => {
		keyIssuer.onMessage(message);
		entryMonitor.onMessage(message, nowMs());
		if (message.type === 'publish') {
			fleetSync.sendToEntries(message.to, message.body);
		}

		updateEntryState();
	};

	const peers = await startPeers(settings, fleetSync, reason => {
		metrics.refusedMessages.inc({reason});
		logRefusedMessage(logger, reason);
	});

	const entryLink = await createEntryLink({
		address: settings.agentAddress,
		port: settings.agentPort,
		onOpen() {
			for (const message of fleetState.snapshot()) {
				sendToEntry(message);
			}
		},
		onMessage: handleEntryMessage,
		onClose() {
			keyIssuer.onClose();
			entryMonitor.onClose();
			updateEntryState();
			logger.warn('connection to entry lost');
		},
	});

	const sendRecords = (records: readonly ConfigRecord[]): void => {
		sendToEntry({
			type: 'config', version: messageVersion, records, ready: fleetSync.isReady(),
		});
	};

	const sendHosts = (): void => {
		for (const message of fleetState.hostMessages()) {
			sendToEntry(message);
		}
	};

	const applyHostList = (list: HostList): void => {
		if (fleetState.applyHosts(list)) {
			fleetSync.setHostList(fleetState.entryHosts());
			sendHosts();
		}
	};

	sendToEntry = entryLink.send;

	const tick = (): void => {
		fleetSync.tick();
		if (fleetSync.isReady() && !wasReady) {
			wasReady = true;
			sendRecords([]);
			logger.info('configuration complete', {records: fleetSync.store.size()});
		}

		if (fleetSync.memberVersion() !== sentMemberVersion) {
			sentMemberVersion = fleetSync.memberVersion();
			sendToEntry({type: 'members', version: messageVersion, members: fleetState.members()});
		}

		updateEntryState();
	};

	const tickTimer = setInterval(tick, tickIntervalMs);
	const recordsFeed = followRecords(settings.configUrl, {
		onPage(page) {
			metrics.configReads.inc();
			fleetSync.receiveFeed(page.records, page.complete);
		},
		onFailure: fleetSync.recordFeedSkipped,
		isWanted: createReadPolicy(fleetSync, nowMs),
	}, logger);
	const hostsFeed = followHosts(settings.hostListUrl, applyHostList, logger);

	const errors = createErrorBarrier({logger, nowMs});
	const locate = await createLocateServer({
		errors,
		address: settings.address,
		port: settings.locatePort,
		keepMs: settings.locateKeepMs,
		keyFor(service) {
			const lifetimeMs = fleetState.service(service)?.keyLifetimeMs;
			return lifetimeMs === undefined ? undefined : keyIssuer.issue(lifetimeMs);
		},
		entriesFor: (service, dataCentre) => fleetSync.isReady() && fleetSync.isTrusted() ? fleetState.entriesFor(service, dataCentre) : [],
	});
	const operator = await createOperatorServer({
		address: settings.operatorAddress,
		port: settings.operatorPort,
		registry: metrics.registry,
		errors,
		handle: (_method, url) => url.pathname === '/v1/status'
			? {
				program: 'egretwing-agent',
				hostId,
				ready: fleetSync.isReady(),
				relay: fleetSync.isRelay(),
				records: fleetSync.store.size(),
				rootDigest: fleetSync.store.rootDigest(),
				members: fleetState.members(),
				entryConnected: entryLink.connected(),
				entryState: announced.state,
			}
			: undefined,
	});
	logger.info('agent listens', {locatePort: locate.port, agentPort: entryLink.port, operatorPort: operator.port});
	return {
		locatePort: locate.port,
		agentPort: entryLink.port,
		operatorPort: operator.port,
		async shutdown() {
			isLeaving = true;
			fleetSync.leave();
			recordsFeed.stop();
			hostsFeed.stop();
			await delay(leavePropagationMs);
			clearInterval(tickTimer);
			locate.close();
			entryLink.close();
			peers.close();
			operator.close();
			logger.info('agent stopped');
		},
	};
};
