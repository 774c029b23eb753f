/** Starts a whole fleet on loopback addresses: stand-ins of the platform and of backend servers, and entry hosts. */

import {setTimeout as delay} from 'node:timers/promises';
import type {EntryHost, Host} from '@egretwing/core';
import {createProcesses, readReadyLine, type Processes} from './processes.ts';

const readyTimeoutMs = 20_000;
const pollMs = 50;

/** Ports that every entry host uses on its own address. */
export const hostPorts = {
	entryPort: 8080, locatePort: 8081, peerPort: 8082, agentPort: 8083, agentOperatorPort: 9101, entryOperatorPort: 9102,
} as const;

/** Settings of one instance of the backend stand-in; see `docs/reference/standin.md`. */
export type InstanceSettings = {
	readonly hostId: string;
	readonly service: string;
	readonly address: string;
	readonly port: number;
	readonly region?: string;
	readonly dataCentre?: string;
} & Readonly<Record<string, unknown>>;

/** Additional settings for the daemons of a host. */
export type HostOverrides = {
	readonly agent?: Readonly<Record<string, unknown>>;
	/** `'none'` starts no entry. */
	readonly entry?: Readonly<Record<string, unknown>> | 'none';
};

/** Hosts, instances and records of a fleet. */
export type FleetOptions = {
	readonly hosts: readonly EntryHost[];
	readonly instances: readonly InstanceSettings[];
	/** Records as published at the platform, without validation. */
	readonly records: readonly unknown[];
	readonly overrides?: HostOverrides;
	/**
	 * Lists the instances in the host list without starting them.
	 * @default false
	 */
	readonly listedOnly?: boolean;
	readonly logs?: 'ignore' | 'inherit';
};

/** A running fleet. */
export type Fleet = {
	readonly processes: Processes;
	/** Base URL that agents read records and hosts from. */
	readonly platformUrl: string;
	/** Base URL for publishing records and hosts and for setting platform faults. */
	readonly platformOperatorUrl: string;
	/** Base URL for setting instance faults and reading runs. */
	readonly backendOperatorUrl: string;
};

/** Creates the host-list entry of an entry host with the ports of `hostPorts`. */
export const createEntryHost = (hostId: string, address: string, region = 'region-1', dataCentre = 'dc-1'): EntryHost => ({
	role: 'entry', hostId, address, region, dataCentre, state: 'live', entryPort: hostPorts.entryPort, locatePort: hostPorts.locatePort, peerPort: hostPorts.peerPort,
});

/** Fetches JSON from an operators' interface. */
export const fetchJson = async <T>(url: string, init?: RequestInit): Promise<T> => {
	const response = await fetch(url, init);
	return await response.json() as T;
};

const isReady = async (url: string): Promise<boolean> => {
	try {
		const {ready} = await fetchJson<{readonly ready: boolean}>(`${url}/v1/status`);
		return ready;
	} catch {
		return false;
	}
};

/** Resolves when the daemon whose operators' interface is at `url` reports ready; rejects after 20 s. */
export const waitUntilReady = async (url: string): Promise<void> => {
	const deadlineMs = Date.now() + readyTimeoutMs;
	while (Date.now() < deadlineMs) {
		if (await isReady(url)) {
			return;
		}

		await delay(pollMs);
	}

	throw new Error(`${url} is not ready after ${readyTimeoutMs} ms`);
};

/** Starts the agent and, unless `overrides.entry` is `'none'`, the entry of `host`. */
export const startHost = (processes: Processes, host: EntryHost, platformUrl: string, overrides: HostOverrides = {}): void => {
	const {hostId, address, region, dataCentre, locatePort, peerPort, entryPort} = host;
	const common = {
		hostId, address, entryPort, agentAddress: address, agentPort: hostPorts.agentPort, operatorAddress: address, fleetKeys: ['fleet-key'],
	};
	processes.start(`agent-${hostId}`, 'agent', {
		...common, region, dataCentre, locatePort, peerPort, configUrl: platformUrl, hostListUrl: platformUrl, operatorPort: hostPorts.agentOperatorPort, ...overrides.agent,
	});
	if (overrides.entry !== 'none') {
		processes.start(`entry-${hostId}`, 'entry', {...common, operatorPort: hostPorts.entryOperatorPort, ...overrides.entry});
	}
};

const createHostList = ({hosts, instances}: FleetOptions): readonly Host[] => [
	...hosts,
	...instances.map(({hostId, service, address, port, region = 'region-1', dataCentre = 'dc-1'}): Host => ({
		role: 'backend', hostId, service, address, port, region, dataCentre, state: 'live',
	})),
];

const toStandinSettings = ({region: _region, dataCentre: _dataCentre, ...settings}: InstanceSettings): unknown => settings;

const startBackends = async (processes: Processes, instances: readonly InstanceSettings[]): Promise<number> => {
	const child = processes.start('backend', 'standin', {instances: instances.map(instance => toStandinSettings(instance))}, ['backend']);
	const {operatorPort} = await readReadyLine<{readonly operatorPort: number}>(child);
	return operatorPort;
};

/** Starts all processes and resolves when every host is ready; on failure, kills the processes already started. */
export const startFleet = async (options: FleetOptions): Promise<Fleet> => {
	const {hosts, instances, records, overrides = {}} = options;
	const processes = createProcesses(options.logs);
	try {
		const platform = await readReadyLine<{readonly port: number; readonly operatorPort: number}>(processes.start('platform', 'standin', {records, hosts: createHostList(options)}, ['platform']));
		const backendOperatorPort = options.listedOnly ? undefined : await startBackends(processes, instances);
		const platformUrl = `http://127.0.0.1:${platform.port}`;
		const operatorPort = overrides.entry === 'none' ? hostPorts.agentOperatorPort : hostPorts.entryOperatorPort;
		for (const host of hosts) {
			startHost(processes, host, platformUrl, overrides);
		}

		await Promise.all(hosts.map(async ({address}) => waitUntilReady(`http://${address}:${operatorPort}`)));
		return {
			processes,
			platformUrl,
			platformOperatorUrl: `http://127.0.0.1:${platform.operatorPort}`,
			backendOperatorUrl: `http://127.0.0.1:${backendOperatorPort}`,
		};
	} catch (error) {
		processes.kill();
		throw error;
	}
};
