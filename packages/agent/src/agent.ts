/** Puts the agent together: exchange with the fleet, platform feeds, session with the entry, locate, operators' interface. */

import {setTimeout as delay} from 'node:timers/promises';
import {
	createRandom, hashText, messageVersion,
	type ConfigRecord, type EntryHost, type EntryToAgent, type HostList,
} from '@egretwing/core';
import {
	createLogger, createOperatorServer, createProcessClock, type Logger,
} from '@egretwing/node';
import {createEntryLink, type EntryLink} from './entry-link.ts';
import {createEntryWatch} from './entry-watch.ts';
import {createExchange, type Exchange} from './exchange.ts';
import {createKeyIssuer} from './key-issue.ts';
import {createLocateServer} from './locate.ts';
import {createAgentMetrics} from './metrics.ts';
import {createPeers, type Peers} from './peers.ts';
import {followHosts, followRecords} from './platform-feed.ts';
import type {AgentSettings} from './settings.ts';
import {createWorld} from './world.ts';

const tickIntervalMs = 50;

/** Time for the fleet to hear that this agent leaves, before it stops answering. */
const leaveSpreadMs = 1000;

/** Wait for peers before an agent that is no relay reads the service itself. */
const peerWaitMs = 2000;

/** A running agent. */
export type Agent = {
	readonly locatePort: number;
	readonly agentPort: number;
	readonly operatorPort: number;
	/** Tells the fleet, waits until it has heard, and ends. */
	readonly shutdown: () => Promise<void>;
};

const createSelf = (settings: AgentSettings): EntryHost => {
	const {hostId, address, region, dataCentre, entryPort, locatePort, peerPort} = settings;
	return {
		role: 'entry', hostId, address, region, dataCentre, state: 'live', entryPort, locatePort, peerPort,
	};
};

/** Non-relays leave the service to the relays, unless no peer has brought a configuration in time. */
const createReadRule = (exchange: Exchange, nowMs: () => number): (() => boolean) => {
	const startMs = nowMs();
	return () => {
		if (!exchange.isTrusted()) {
			return false;
		}

		const isLate = !exchange.isReady() && nowMs() - startMs >= peerWaitMs;
		if (exchange.isRelay() || isLate) {
			return true;
		}

		exchange.feedSkipped();
		return false;
	};
};

const startPeers = async (settings: AgentSettings, exchange: Exchange, onRefused: (reason: string) => void): Promise<Peers> => createPeers({
	hostId: settings.hostId,
	address: settings.address,
	peerPort: settings.peerPort,
	fleetKeys: settings.fleetKeys,
	startedMs: Date.now(),
	onMessage: exchange.receive,
	onRefused,
});

const logRefused = (logger: Logger, reason: string): void => {
	logger.debug('message of another agent refused', {reason});
};

/** Starts an agent; rejects when an address can't be bound. */
export const startAgent = async (settings: AgentSettings): Promise<Agent> => {
	const {hostId} = settings;
	const logger = createLogger('egretwing-agent', hostId, settings.logLevel);
	const {nowMs} = createProcessClock();
	const incarnation = Date.now();
	const random = createRandom(hashText(`${hostId}/${incarnation}`));
	const keyIssuer = createKeyIssuer({nowMs});
	const entryWatch = createEntryWatch();
	/** Drops messages until the listener for the entry stands. */
	let sendToEntry: EntryLink['send'] = () => undefined;
	let isLeaving = false;
	let announced = {state: 'down', incarnation: 0};
	let sentMemberVersion = -1;
	let wasReady = false;

	const exchange: Exchange = createExchange({
		self: createSelf(settings),
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
		hostList: () => world.hostList(),
		onHosts(hosts) {
			takeHosts(hosts);
		},
		onEntryMessage(from, body) {
			sendToEntry({
				type: 'delivered', version: messageVersion, from, body,
			});
		},
	});
	const world = createWorld({
		store: exchange.store, memberViews: exchange.members, ready: exchange.isReady, random,
	});
	const metrics = createAgentMetrics(() => exchange, () => peers);

	const lookAtEntry = (): void => {
		const seen = entryWatch.look(nowMs(), exchange.isReady());
		if (isLeaving || (seen.state === announced.state && seen.incarnation === announced.incarnation)) {
			return;
		}

		announced = seen;
		logger.info('entry state', seen);
		exchange.setEntry(seen.state, seen.incarnation);
	};

	const takeEntryMessage = (message: EntryToAgent): void => {
		keyIssuer.onMessage(message);
		entryWatch.onMessage(message, nowMs());
		if (message.type === 'publish') {
			exchange.sendToEntries(message.to, message.body);
		}

		lookAtEntry();
	};

	const takeHosts = (hosts: HostList): void => {
		if (!world.applyHosts(hosts)) {
			return;
		}

		exchange.setHostList(world.entryHosts());
		for (const message of world.hostMessages()) {
			sendToEntry(message);
		}
	};

	const peers = await startPeers(settings, exchange, reason => {
		metrics.refusedMessages.inc({reason});
		logRefused(logger, reason);
	});

	const entryLink = await createEntryLink({
		address: settings.agentAddress,
		port: settings.agentPort,
		onOpen() {
			for (const message of world.snapshot()) {
				sendToEntry(message);
			}
		},
		onMessage: takeEntryMessage,
		onClose() {
			keyIssuer.onClose();
			entryWatch.onClose();
			lookAtEntry();
			logger.warn('entry session lost');
		},
	});

	const sendRecords = (records: readonly ConfigRecord[]): void => {
		sendToEntry({
			type: 'config', version: messageVersion, records, ready: exchange.isReady(),
		});
	};

	sendToEntry = entryLink.send;

	const tick = (): void => {
		exchange.tick();
		if (exchange.isReady() && !wasReady) {
			wasReady = true;
			sendRecords([]);
			logger.info('configuration is whole', {records: exchange.store.size()});
		}

		if (exchange.memberVersion() !== sentMemberVersion) {
			sentMemberVersion = exchange.memberVersion();
			sendToEntry({type: 'members', version: messageVersion, members: world.members()});
		}

		lookAtEntry();
	};

	const ticks = setInterval(tick, tickIntervalMs);
	const recordsFeed = followRecords(settings.configUrl, {
		onPage(page) {
			metrics.configReads.inc();
			exchange.receiveFeed(page.records, page.complete);
		},
		onFailure: exchange.feedSkipped,
		isWanted: createReadRule(exchange, nowMs),
	}, logger);
	const hostsFeed = followHosts(settings.hostListUrl, takeHosts, logger);

	const locate = await createLocateServer({
		address: settings.address,
		port: settings.locatePort,
		keepMs: settings.locateKeepMs,
		keyFor(service) {
			const lifetimeMs = world.service(service)?.keyLifetimeMs;
			return lifetimeMs === undefined ? undefined : keyIssuer.issue(lifetimeMs);
		},
		entriesFor: (service, dataCentre) => exchange.isReady() && exchange.isTrusted() ? world.entriesFor(service, dataCentre) : [],
	});
	const operator = await createOperatorServer({
		address: settings.operatorAddress,
		port: settings.operatorPort,
		registry: metrics.registry,
		handle: (_method, url) => url.pathname === '/v1/status'
			? {
				program: 'egretwing-agent',
				hostId,
				ready: exchange.isReady(),
				relay: exchange.isRelay(),
				records: exchange.store.size(),
				rootDigest: exchange.store.rootDigest(),
				members: world.members(),
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
			exchange.leave();
			recordsFeed.stop();
			hostsFeed.stop();
			await delay(leaveSpreadMs);
			clearInterval(ticks);
			locate.close();
			entryLink.close();
			peers.close();
			operator.close();
			logger.info('agent stopped');
		},
	};
};
