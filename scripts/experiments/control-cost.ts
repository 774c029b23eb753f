/**
 * Measures the cost of the control plane per agent and the time until a record is in force everywhere.
 *
 * Agents run without entries, so that only control traffic is measured.
 */

import {setTimeout as delay} from 'node:timers/promises';
import {
	createEntryHost, fetchJson, hostPorts, startFleet, type Fleet,
} from '../lib/fleet.ts';
import {fetchMetrics, type MetricValues} from './metrics.ts';

const settleMs = 8000;
const measurementMs = 10_000;
const msPerSecond = 1000;
const pollMs = 20;
const propagationTimeoutMs = 10_000;
const dataCentres = 3;
const bytesPerMebibyte = 1_048_576;

/** One row of the result. */
export type ControlCost = {
	readonly agents: number;
	readonly services: number;
	readonly instances: number;
	readonly routes: number;
	/** CPU time as a share of one core: the mean over the agents, and the highest agent. */
	readonly coreShareMean: number;
	readonly coreShareMax: number;
	readonly heapMbMean: number;
	readonly residentMbMean: number;
	/** Bytes per second to and from other agents, mean over the agents. */
	readonly sentBytesPerSecond: number;
	readonly receivedBytesPerSecond: number;
	/** Time until a record published at the platform was in force on every agent; `Infinity` after 10 s. */
	readonly spreadMs: number;
	/** Reads of the platform per second, over the whole fleet. */
	readonly platformReadsPerSecond: number;
};

/** Size of the fleet in one row. */
export type ControlSize = {
	readonly agents: number;
	readonly services: number;
	readonly instancesPerService: number;
	readonly routes: number;
};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const serviceName = (index: number): string => `service-${index}`;

const createRecords = ({services, routes}: ControlSize): readonly unknown[] => [
	...Array.from({length: services}, (_, index) => ({
		kind: 'service', schemaVersion: 2, name: serviceName(index), revision: 1,
	})),
	...Array.from({length: routes}, (_, index) => ({
		kind: 'route', schemaVersion: 2, name: `route-${index}`, revision: 1, pathPrefix: `/route-${index}`, service: serviceName(index % services), semantics: 'idempotent',
	})),
];

const increase = (before: MetricValues, after: MetricValues, name: string): number => (after.get(name) ?? 0) - (before.get(name) ?? 0);

const countReads = async ({platformOperatorUrl}: Fleet): Promise<number> => {
	const {recordReads, hostReads} = await fetchJson<{readonly recordReads: number; readonly hostReads: number}>(`${platformOperatorUrl}/v1/counts`);
	return recordReads + hostReads;
};

const measurePropagation = async (fleet: Fleet, urls: readonly string[], records: number): Promise<number> => {
	const startMs = performance.now();
	await fetch(`${fleet.platformOperatorUrl}/v1/records`, {
		method: 'PUT',
		body: JSON.stringify([{
			kind: 'route', schemaVersion: 2, name: 'spread', revision: 2, pathPrefix: '/spread', service: serviceName(0), semantics: 'idempotent',
		}]),
	});
	const waiting = new Set(urls);
	while (waiting.size > 0 && performance.now() - startMs < propagationTimeoutMs) {
		await Promise.all([...waiting].map(async url => {
			const status = await fetchJson<{readonly records: number}>(`${url}/v1/status`);
			if (status.records > records) {
				waiting.delete(url);
			}
		}));
		await delay(pollMs);
	}

	return waiting.size > 0 ? Infinity : performance.now() - startMs;
};

/** Runs a fleet of one size and returns its row. */
export const measureControlCost = async (size: ControlSize): Promise<ControlCost> => {
	const hosts = Array.from({length: size.agents}, (_, index) =>
		createEntryHost(`entry-${index}`, `127.0.31.${index + 1}`, 'region-1', `dc-${index % dataCentres}`));
	const records = createRecords(size);
	const instances = Array.from({length: size.services * size.instancesPerService}, (_, index) => ({
		hostId: `instance-${index}`, service: serviceName(index % size.services), address: `127.0.${64 + Math.floor(index / 250)}.${(index % 250) + 1}`, port: 9000,
	}));
	const fleet = await startFleet({
		hosts, instances, records, overrides: {entry: 'none'}, listedOnly: true,
	});
	try {
		const urls = hosts.map(({address}) => `http://${address}:${hostPorts.agentOperatorPort}`);
		await delay(settleMs);
		const readsBefore = await countReads(fleet);
		const before = await Promise.all(urls.map(async url => fetchMetrics(url)));
		await delay(measurementMs);
		const after = await Promise.all(urls.map(async url => fetchMetrics(url)));
		const readsAfter = await countReads(fleet);
		const seconds = measurementMs / msPerSecond;
		const rates = (name: string): readonly number[] => after.map((values, index) => increase(before[index]!, values, name) / seconds);
		const megabytes = (name: string): number => mean(after.map(values => (values.get(name) ?? 0) / bytesPerMebibyte));
		const coreShares = rates('process_cpu_seconds_total');
		return {
			agents: size.agents,
			services: size.services,
			instances: instances.length,
			routes: size.routes,
			coreShareMean: mean(coreShares),
			coreShareMax: Math.max(...coreShares),
			heapMbMean: megabytes('nodejs_heap_size_used_bytes'),
			residentMbMean: megabytes('process_resident_memory_bytes'),
			sentBytesPerSecond: mean(rates('egretwing_peer_sent_bytes')),
			receivedBytesPerSecond: mean(rates('egretwing_peer_received_bytes')),
			spreadMs: await measurePropagation(fleet, urls, records.length),
			platformReadsPerSecond: (readsAfter - readsBefore) / seconds,
		};
	} finally {
		await fleet.processes.stop();
	}
};
