/** Polls the state of every entry host during a run. */

import {setTimeout as delay} from 'node:timers/promises';
import type {EntryHost} from '@egretwing/core';
import {hostPorts} from '../../../scripts/lib/fleet.ts';
import {fetchEjected, tryFetchJson} from '../../../scripts/lib/standing.ts';
import type {Sample} from './observations.ts';

const pollMs = 200;
const requestTimeoutMs = 1000;

/** A running monitor. */
export type Monitor = {
	readonly stop: () => Promise<readonly Sample[]>;
};

type EntryStatus = {
	readonly ready: boolean;
	readonly revision: number;
};

const fetchLocated = async (url: string): Promise<readonly string[] | undefined> => {
	try {
		const response = await fetch(url, {signal: AbortSignal.timeout(requestTimeoutMs)});
		const {entries} = await response.json() as {readonly entries: ReadonlyArray<{readonly hostId: string}>};
		return entries.map(({hostId}) => hostId);
	} catch {
		return undefined;
	}
};

const locateAll = async (host: EntryHost, services: readonly string[]): Promise<Sample['located']> => {
	const answers = await Promise.all(services.map(async service => fetchLocated(`http://${host.address}:${host.locatePort}/v1/locate?service=${service}`)));
	if (answers.includes(undefined)) {
		return undefined;
	}

	return Object.fromEntries(services.map((service, index) => [service, answers[index] ?? []]));
};

const sampleHost = async (host: EntryHost, services: readonly string[]): Promise<Sample> => {
	const operatorUrl = `http://${host.address}:${hostPorts.entryOperatorPort}`;
	const [status, ejected, located] = await Promise.all([
		tryFetchJson<EntryStatus>(`${operatorUrl}/v1/status`),
		fetchEjected(operatorUrl, services),
		locateAll(host, services),
	]);
	return {
		atMs: Date.now(),
		hostId: host.hostId,
		...(status?.ready && {revision: status.revision, ejected}),
		...(located && {located}),
	};
};

/** Starts to poll `hosts`. */
export const startMonitor = (hosts: readonly EntryHost[], services: readonly string[]): Monitor => {
	const samples: Sample[] = [];
	const stopped = new AbortController();

	const poll = async (host: EntryHost): Promise<void> => {
		while (!stopped.signal.aborted) {
			samples.push(await sampleHost(host, services));
			await delay(pollMs);
		}
	};

	const polling = Promise.all(hosts.map(async host => poll(host)));
	return {
		async stop() {
			stopped.abort();
			await polling;
			return samples;
		},
	};
};
