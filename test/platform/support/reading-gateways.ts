/**
 * Gateways without callers in one process: catalogue, synchronisation, election and readers with the client of the store. Their
 * messages travel in wire form.
 */

import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createCatalogue, createCatalogueSync, createRandom, createReaderElection, reconcileFullRead,
	type Catalogue, type CatalogueSend, type ReaderCandidate,
} from '@egretwing/core';
import type {StoreClient, StoreTopic} from '@egretwing/gateway';
import {createLogger} from '@egretwing/node';
import {Err} from 'ts-results-es';
import {decodeMessage, encodeMessage, type MeshMessage} from '../../../packages/gateway/src/mesh-message.ts';
import {createGatewayMetrics} from '../../../packages/gateway/src/metrics.ts';
import {createStoreReader, type StoreReader, type StoreReaderOptions} from '../../../packages/gateway/src/store-reader.ts';
import {createStoreClient} from '../../../platform/store-client.ts';

const tickMs = 50;
const messageMs = 2;
const peerPort = 7000;

/** A running gateway. */
export type ReadingGateway = {
	readonly hostId: string;
	readonly catalogue: Catalogue;
	readonly receive: (from: string, message: MeshMessage) => void;
	readonly isReader: () => boolean;
	readonly tick: () => void;
	readonly stop: () => void;
};

/** Gateways and what cuts them from each other and from the store. */
export type ReadingGatewaysOptions = {
	readonly count: number;
	readonly storeAddress: string;
	readonly storePort: number;
	readonly isCut: (from: string, to: string) => boolean;
	readonly isStoreCut: (hostId: string) => boolean;
};

/** Starts gateways in two data centres; `runUntil` lets them run and calls `observe` at each step. */
export const startReadingGateways = ({
	count, storeAddress, storePort, isCut, isStoreCut,
}: ReadingGatewaysOptions) => {
	const nowMs = (): number => performance.now();
	const hosts = Array.from({length: count}, (_, index): ReaderCandidate => ({hostId: `g-${index}`, dataCentre: `dc-${index % 2}`}));
	const gateways = new Map<string, ReadingGateway>();

	const send = (from: string, to: string, message: MeshMessage): void => {
		const bytes = encodeMessage({hostId: from, address: storeAddress, peerPort}, message);
		setTimeout(() => {
			if (!isCut(from, to)) {
				gateways.get(to)?.receive(from, decodeMessage(bytes).unwrap().message);
			}
		}, messageMs);
	};

	const start = ({hostId, dataCentre}: ReaderCandidate, index: number): ReadingGateway => {
		const catalogue = createCatalogue();
		const election = createReaderElection(nowMs());
		const client = createStoreClient(storeAddress, storePort, storeAddress);
		const cutClient: StoreClient = {
			readAll: async topic => isStoreCut(hostId) ? Err('unreachable') : client.readAll(topic),
			watch: async (...call) => isStoreCut(hostId) ? Err('unreachable') : client.watch(...call),
			close: client.close,
		};
		const peerIds = (): readonly string[] => [...gateways.keys()].filter(id => id !== hostId);
		/** Members as the membership has them after a while: those that can be reached. */
		const members = (): readonly ReaderCandidate[] => hosts.filter(host => gateways.has(host.hostId) && !isCut(hostId, host.hostId));
		const isReader = (): boolean => election.isReader(hostId, members(), nowMs());
		const sync = createCatalogueSync({
			selfId: hostId,
			catalogue,
			random: createRandom(index + 1),
			peerIds,
			localPeerIds: () => peerIds().filter(id => hosts.some(host => host.hostId === id && host.dataCentre === dataCentre)),
			dataCentreOf: id => hosts.find(host => host.hostId === id)!.dataCentre,
			isReceivingFrom: () => false,
			onChange: () => undefined,
		});
		const post = (sends: readonly CatalogueSend[]): void => {
			for (const {to, message} of sends) {
				send(hostId, to, {type: 'spread', message});
			}
		};

		const broadcast = (message: Extract<MeshMessage, {type: 'store'}>): void => {
			for (const id of peerIds()) {
				send(hostId, id, message);
			}
		};

		const createReader = (topic: StoreTopic, known: Pick<StoreReaderOptions, 'knownAsOf' | 'completeAsOf'>): StoreReader => createStoreReader({
			topic,
			client: cutClient,
			nowMs,
			logger: createLogger('test', hostId, 0),
			metrics: createGatewayMetrics(),
			errors: {
				record(_place, error) {
					throw error;
				},
				run(_place, action) {
					action();
				},
			},
			isWanted: isReader,
			...known,
			onRead(_topic, {
				config, entries, asOf, missingUsableForMs, coverage,
			}, isFull) {
				const lapse = missingUsableForMs === undefined ? false : {usableForMs: missingUsableForMs};
				const reconciled = isFull && topic === 'instances' ? reconcileFullRead(entries, asOf, catalogue.entries(), lapse) : entries;
				post(sync.applyStoreRead({...(config !== undefined && {config}), ...(topic === 'instances' && {entries: reconciled, instancesAsOf: asOf, coverage})}, nowMs()));
			},
			onFailure(_failure, failingForMs) {
				election.markUnreachable(hostId, nowMs());
				broadcast({type: 'store', isReachable: false, failingForMs});
			},
			onReachable() {
				election.markReachable(hostId);
				broadcast({type: 'store', isReachable: true});
			},
		});
		const instancesReader = createReader('instances', {knownAsOf: () => catalogue.digest().instancesAsOf, completeAsOf: () => catalogue.completeness().asOf});
		const readers = [createReader('config', {knownAsOf: () => -1, completeAsOf: () => -1}), instancesReader];

		const receiveStoreState = (from: string, {isReachable, failingForMs = 0, readingForMs}: Extract<MeshMessage, {type: 'store'}>): void => {
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
				send(hostId, from, {type: 'store', isReachable: true, readingForMs: ownReadingForMs});
			}
		};

		return {
			hostId,
			catalogue,
			isReader,
			receive(from, message) {
				if (message.type === 'spread') {
					post(sync.receive(from, message.message, nowMs()));
				} else if (message.type === 'store') {
					receiveStoreState(from, message);
				}
			},
			tick() {
				catalogue.tick(nowMs());
				post(sync.tick(nowMs()));
				for (const reader of readers) {
					reader.tick();
				}
			},
			stop() {
				for (const reader of readers) {
					reader.stop();
				}

				client.close();
				gateways.delete(hostId);
			},
		};
	};

	for (const [index, host] of hosts.entries()) {
		gateways.set(host.hostId, start(host, index));
	}

	return {
		gateways,
		async runFor(durationMs: number, observe: () => void = () => undefined): Promise<void> {
			for (const endMs = nowMs() + durationMs; nowMs() < endMs;) {
				for (const gateway of gateways.values()) {
					gateway.tick();
				}

				observe();
				await delay(tickMs);
			}
		},
		stop() {
			for (const gateway of gateways.values()) {
				gateway.stop();
			}
		},
	};
};
