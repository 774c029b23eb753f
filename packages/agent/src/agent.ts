/** Puts the agent together: platform feeds, session with the entry, locate, operators' interface. */

import {
	Counter, Gauge, Registry, collectDefaultMetrics,
} from 'prom-client';
import {messageVersion} from '@egretwing/core';
import {createLogger, createOperatorServer, createProcessClock} from '@egretwing/node';
import {createEntryLink} from './entry-link.ts';
import {createKeyIssuer} from './key-issue.ts';
import {createLocateServer} from './locate.ts';
import {followHosts, followRecords} from './platform-feed.ts';
import type {AgentSettings} from './settings.ts';
import {createWorld} from './world.ts';

/** A running agent. */
export type Agent = {
	readonly locatePort: number;
	readonly agentPort: number;
	readonly operatorPort: number;
	readonly shutdown: () => void;
};

/** Starts an agent; rejects when an address can't be bound. */
export const startAgent = async (settings: AgentSettings): Promise<Agent> => {
	const {hostId} = settings;
	const logger = createLogger('egretwing-agent', hostId, settings.logLevel);
	const registry = new Registry();
	collectDefaultMetrics({register: registry});
	const refusedRecords = new Counter({name: 'egretwing_refused_records_total', help: 'Records that did not check out', registers: [registry]});
	const revisionInForce = new Gauge({name: 'egretwing_config_revision', help: 'Highest revision in force', registers: [registry]});
	const world = createWorld();
	const keyIssuer = createKeyIssuer(createProcessClock());

	const entryLink = await createEntryLink({
		address: settings.agentAddress,
		port: settings.agentPort,
		onOpen() {
			for (const message of world.snapshot()) {
				entryLink.send(message);
			}
		},
		onMessage(message) {
			keyIssuer.onMessage(message);
			logger.debug('entry says', {type: message.type});
		},
		onClose() {
			keyIssuer.onClose();
			logger.warn('entry session lost');
		},
	});

	const recordsFeed = followRecords(settings.configUrl, page => {
		const newer = world.applyPage(page, (written, issues) => {
			refusedRecords.inc();
			logger.warn('record refused', {record: written, issues});
		});
		revisionInForce.set(Math.max(0, ...newer.map(record => record.revision)));
		entryLink.send({
			type: 'config', version: messageVersion, records: newer, ready: world.ready(),
		});
	}, logger);

	const hostsFeed = followHosts(settings.hostListUrl, hosts => {
		world.applyHosts(hosts);
		for (const message of world.snapshot()) {
			if (message.type !== 'config') {
				entryLink.send(message);
			}
		}
	}, logger);

	const locate = await createLocateServer({
		address: settings.address,
		port: settings.locatePort,
		keepMs: settings.locateKeepMs,
		keyFor(service) {
			const lifetimeMs = world.service(service)?.keyLifetimeMs;
			return lifetimeMs === undefined ? undefined : keyIssuer.issue(lifetimeMs);
		},
		entriesFor: () => world.ready() ? world.members().filter(member => member.usable) : [],
	});
	const operator = await createOperatorServer({
		address: settings.operatorAddress,
		port: settings.operatorPort,
		registry,
		handle: (_method, url) => url.pathname === '/v1/status'
			? {
				program: 'egretwing-agent', hostId, ready: world.ready(), records: world.records().length, members: world.members(), entryConnected: entryLink.connected(),
			}
			: undefined,
	});
	logger.info('agent listens', {locatePort: locate.port, agentPort: entryLink.port, operatorPort: operator.port});
	return {
		locatePort: locate.port,
		agentPort: entryLink.port,
		operatorPort: operator.port,
		shutdown() {
			recordsFeed.stop();
			hostsFeed.stop();
			locate.close();
			entryLink.close();
			operator.close();
			logger.info('agent stopped');
		},
	};
};
