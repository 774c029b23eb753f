/** Asks every entry host again and again what it holds to be true. */

import {setTimeout as delay} from 'node:timers/promises';
import type {EntryHost} from '@egretwing/core';
import {hostPorts} from '../../../scripts/lib/fleet.ts';
import type {Sample} from './observations.ts';

const pollMs = 200;
const answerTimeoutMs = 1000;

/** A running monitor. */
export type Monitor = {
	readonly stop: () => Promise<readonly Sample[]>;
};

type EntryStatus = {
	readonly ready: boolean;
	readonly revision: number;
	readonly ejected?: readonly string[];
};

const fetchOrNothing = async <T>(url: string): Promise<T | undefined> => {
	try {
		const response = await fetch(url, {signal: AbortSignal.timeout(answerTimeoutMs)});
		return response.ok ? await response.json() as T : undefined;
	} catch {
		return undefined;
	}
};

const isAnswered = async (url: string): Promise<readonly string[] | undefined> => {
	try {
		const response = await fetch(url, {signal: AbortSignal.timeout(answerTimeoutMs)});
		const {entries} = await response.json() as {readonly entries: ReadonlyArray<{readonly hostId: string}>};
		return entries.map(({hostId}) => hostId);
	} catch {
		return undefined;
	}
};

const locateAll = async (host: EntryHost, services: readonly string[]): Promise<Sample['located']> => {
	const answers = await Promise.all(services.map(async service => isAnswered(`http://${host.address}:${host.locatePort}/v1/locate?service=${service}`)));
	if (answers.includes(undefined)) {
		return undefined;
	}

	return Object.fromEntries(services.map((service, index) => [service, answers[index] ?? []]));
};

const sampleHost = async (host: EntryHost, services: readonly string[]): Promise<Sample> => {
	const [status, located] = await Promise.all([
		fetchOrNothing<EntryStatus>(`http://${host.address}:${hostPorts.entryOperatorPort}/v1/status`),
		locateAll(host, services),
	]);
	return {
		atMs: Date.now(),
		hostId: host.hostId,
		...(status?.ready && {revision: status.revision, ejected: status.ejected ?? []}),
		...(located && {located}),
	};
};

/** Starts to watch `hosts`. */
export const startMonitor = (hosts: readonly EntryHost[], services: readonly string[]): Monitor => {
	const samples: Sample[] = [];
	const stopped = new AbortController();

	const watch = async (host: EntryHost): Promise<void> => {
		while (!stopped.signal.aborted) {
			samples.push(await sampleHost(host, services));
			await delay(pollMs);
		}
	};

	const watching = Promise.all(hosts.map(async host => watch(host)));
	return {
		async stop() {
			stopped.abort();
			await watching;
			return samples;
		},
	};
};
