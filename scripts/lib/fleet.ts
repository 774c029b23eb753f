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

/** Extra settings for the daemons of a host. */
export type HostOverrides = {
	readonly agent?: Readonly<Record<string, unknown>>;
	/** `'none'` starts no entry. */
	readonly entry?: Readonly<Record<string, unknown>> | 'none';
};

/** What a fleet is made of. */
export type FleetOptions = {
	readonly hosts: readonly EntryHost[];
	readonly instances: readonly InstanceSettings[];
	/** Records as written. */
	readonly records: readonly unknown[];
	readonly overrides?: HostOverrides;
	/**
	 * Names the instances in the host list without running them.
	 * @default false
	 */
	readonly listedOnly?: boolean;
	readonly logs?: 'ignore' | 'inherit';
};

/** A running fleet. */
export type Fleet = {
	readonly processes: Processes;
	/** What agents read. */
	readonly platformUrl: string;
	/** Where records, hosts and faults are put. */
	readonly platformOperatorUrl: string;
	/** Where faults of instances are put and runs are counted. */
	readonly backendOperatorUrl: string;
};

/** The host-list line of an entry host with the usual ports. */
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

/** Resolves once the daemon whose operators' interface is at `url` says that it is ready. */
export const waitUntilReady = async (url: string): Promise<void> => {
	const untilMs = Date.now() + readyTimeoutMs;
	while (Date.now() < untilMs) {
		if (await isReady(url)) {
			return;
		}

		await delay(pollMs);
	}

	throw new Error(`${url} is not ready after ${readyTimeoutMs} ms`);
};

/** Starts the agent and, unless told not to, the entry of `host`. */
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

const standinSettings = ({region: _region, dataCentre: _dataCentre, ...settings}: InstanceSettings): unknown => settings;

const startBackends = async (processes: Processes, instances: readonly InstanceSettings[]): Promise<number> => {
	const child = processes.start('backend', 'standin', {instances: instances.map(instance => standinSettings(instance))}, ['backend']);
	const {operatorPort} = await readReadyLine<{readonly operatorPort: number}>(child);
	return operatorPort;
};

/** Starts everything and resolves once every host is ready; what was started is ended when that fails. */
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
