/** Test harness: an entry in this process, with a fake agent and scripted backend servers. */

import http from 'node:http';
import net from 'node:net';
import {
	messageVersion, parseRecord, type AgentToEntry, type ConfigRecord, type EntryToAgent, type FleetMember, type Instance,
} from '@egretwing/core';
import {createConnection, listen, type Connection} from '@egretwing/node';
import {startEntry, type Entry, type EntrySettings} from '../../src/index.ts';

/** A fake agent for one entry. */
export type FakeAgent = {
	readonly port: number;
	readonly received: readonly EntryToAgent[];
	readonly send: (message: AgentToEntry) => void;
	readonly close: () => void;
};

/** Starts a fake agent; on each connection of the entry, it repeats all messages sent so far. */
export const startFakeAgent = async (): Promise<FakeAgent> => {
	const received: EntryToAgent[] = [];
	const sent: AgentToEntry[] = [];
	let connection: Connection | undefined;
	const server = net.createServer(socket => {
		connection = createConnection(socket, {
			onMessage(message) {
				received.push(message as EntryToAgent);
			},
			onClose() {
				connection = undefined;
			},
		});
		for (const message of sent) {
			connection.send(message);
		}
	});
	const port = await listen(server, 0, '127.0.0.1');
	return {
		port,
		received,
		send(message) {
			sent.push(message);
			connection?.send(message);
		},
		close() {
			server.close();
			connection?.close();
		},
	};
};

/** A scripted backend server. */
export type FakeBackend = {
	readonly instance: Instance;
	readonly close: () => void;
};

/** Starts an HTTP backend server whose responses come from `listener`. */
export const startFakeBackend = async (hostId: string, service: string, listener: http.RequestListener): Promise<FakeBackend> => {
	const server = http.createServer(listener);
	const port = await listen(server, 0, '127.0.0.1');
	return {
		instance: {
			role: 'backend', hostId, service, address: '127.0.0.1', port, region: 'r', dataCentre: 'd', state: 'live',
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};

/** Returns an instance at `port`, for backend servers that are started by other means. */
export const instanceAt = (hostId: string, service: string, port: number): Instance => ({
	role: 'backend', hostId, service, address: '127.0.0.1', port, region: 'r', dataCentre: 'd', state: 'live',
});

/** Configuration of an entry under test. */
export type HarnessOptions = {
	/** Configuration records, not yet parsed. */
	readonly records: readonly unknown[];
	readonly instances: readonly Instance[];
	readonly members?: readonly FleetMember[];
	readonly hostId?: string;
	/** Settings that override those of the harness. */
	readonly settings?: Partial<EntrySettings>;
};

/** A running entry under test. */
export type Harness = {
	readonly entry: Entry;
	readonly agent: FakeAgent;
	readonly url: string;
	/** Sends further records to the entry. */
	readonly putRecords: (records: readonly unknown[]) => void;
	readonly putInstances: (instances: readonly Instance[]) => void;
	readonly putMembers: (members: readonly FleetMember[]) => void;
	readonly close: () => Promise<void>;
};

const parseAll = (records: readonly unknown[]): readonly ConfigRecord[] => records.map(record => parseRecord(record).unwrap());

const waitUntilReady = async (entry: Entry): Promise<void> => {
	for (;;) {
		const response = await fetch(`http://127.0.0.1:${entry.operatorPort}/v1/status`);
		const {ready} = await response.json() as {readonly ready: boolean};
		if (ready) {
			return;
		}
	}
};

/** Starts an entry that is ready with the given records and instances. */
export const startHarness = async (options: HarnessOptions): Promise<Harness> => {
	const agent = await startFakeAgent();
	let sequence = 0;
	const putRecords = (records: readonly unknown[]): void => {
		agent.send({
			type: 'config', version: messageVersion, records: parseAll(records), ready: true,
		});
	};

	const putInstances = (instances: readonly Instance[]): void => {
		sequence++;
		agent.send({
			type: 'instances', version: messageVersion, sequence, instances,
		});
	};

	const putMembers = (members: readonly FleetMember[]): void => {
		agent.send({type: 'members', version: messageVersion, members});
	};

	putInstances(options.instances);
	putMembers(options.members ?? []);
	putRecords(options.records);
	const entry = await startEntry({
		hostId: options.hostId ?? 'entry-1',
		address: '127.0.0.1',
		entryPort: 0,
		agentAddress: '127.0.0.1',
		agentPort: agent.port,
		operatorAddress: '127.0.0.1',
		operatorPort: 0,
		fleetKeys: ['test-key'],
		headersTimeoutMs: 10_000,
		maxHeaderBytes: 16_384,
		bodyIdleTimeoutMs: 30_000,
		drainAcceptMs: 0,
		drainTimeoutMs: 5000,
		maxIdempotencyKeys: 16_384,
		maxIdempotencyKeyBytes: 8_388_608,
		logLevel: 0,
		...options.settings,
	});
	await waitUntilReady(entry);
	return {
		entry,
		agent,
		url: `http://127.0.0.1:${entry.port}`,
		putRecords,
		putInstances,
		putMembers,
		async close() {
			await entry.shutdown();
			agent.close();
		},
	};
};
