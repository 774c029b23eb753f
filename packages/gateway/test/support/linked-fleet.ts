/**
 * Gateways behind links of limited capacity, in virtual time. The streams of a sender share its link round-robin; the link of a
 * receiver is a queue.
 */

import {
	createCatalogue, createRandom, createReaderElection, createCatalogueSync, electionWaitMs, type Catalogue, type FleetConfig, type ReaderCandidate, type CatalogueSync, type CatalogueMessage, type CatalogueSend,
} from '@egretwing/core';
import {encodeMessage} from '../../src/mesh-message.ts';

/** Capacity of a link of 10 Mbit/s. */
const smallLinkBytesPerMs = 1250;
const latencyMs = 1;
const tickIntervalMs = 100;
const dataCentreCount = 3;

type QueuedMessage = {
	readonly from: string;
	readonly to: string;
	readonly message: CatalogueMessage;
	readonly sizeBytes: number;
	readonly stream: string;
	leftBytes: number;
};

/** A part of a message in transit. */
type Packet = {readonly atMs: number; readonly sizeBytes: number; readonly queued: QueuedMessage; readonly isEnd: boolean};

type Host = {
	readonly id: string;
	readonly catalogue: Catalogue;
	readonly catalogueSync: CatalogueSync;
	/** Capacity as a multiple of the small link's. */
	readonly speed: number;
	readonly tickOffsetMs: number;
	readonly streams: Map<string, QueuedMessage[]>;
	readonly incoming: Packet[];
	/** Peers from which a message has arrived in part. */
	readonly receivingFrom: Set<string>;
	/** Number of configurations received. */
	configCopies: number;
	sentBytes: number;
};

const createSizeOf = () => {
	const sizes = new WeakMap<FleetConfig, number>();
	const sender = {hostId: 'g-100', address: '10.0.0.1', peerPort: 7000};
	return (message: CatalogueMessage): number => {
		const config = message.type === 'state' && message.entries === undefined ? message.config : undefined;
		const sizeBytes = (config && sizes.get(config)) ?? encodeMessage(sender, {type: 'spread', message}).length;
		if (config !== undefined) {
			sizes.set(config, sizeBytes);
		}

		return sizeBytes;
	};
};

/** Creates `size` gateways; every twenty-first has a link ten times as fast as the others. */
export const createLinkedFleet = (size: number, seed: number, bytesPerMs = smallLinkBytesPerMs) => {
	const sizeOf = createSizeOf();
	const ids = Array.from({length: size}, (_, index) => `g-${index}`);
	let nowMs = 0;
	const hosts = new Map<string, Host>(ids.map((id, index) => {
		const catalogue = createCatalogue();
		const catalogueSync = createCatalogueSync({
			selfId: id,
			catalogue,
			random: createRandom((seed * 1000) + index),
			peerIds: () => ids.filter(other => other !== id),
			localPeerIds: () => ids.filter((other, otherIndex) => other !== id && otherIndex % dataCentreCount === index % dataCentreCount),
			dataCentreOf: peerId => `dc-${ids.indexOf(peerId) % dataCentreCount}`,
			isReceivingFrom: peerId => hosts.get(id)!.receivingFrom.has(peerId),
			onChange: () => undefined,
		});
		return [id, {
			id, catalogue, catalogueSync, speed: index % 21 === 20 ? 10 : 1, tickOffsetMs: index * 37 % tickIntervalMs, streams: new Map(), incoming: [], receivingFrom: new Set(), configCopies: 0, sentBytes: 0,
		}];
	}));

	const enqueue = (host: Host, sends: readonly CatalogueSend[]): void => {
		for (const {to, message, transport} of sends) {
			const sizeBytes = sizeOf(message);
			const stream = `${transport} ${to}`;
			const waiting = host.streams.get(stream) ?? [];
			waiting.push({
				from: host.id, to, message, sizeBytes, stream, leftBytes: sizeBytes,
			});
			host.streams.set(stream, waiting);
		}
	};

	/** Sends one packet of the stream that is next in the round. */
	const sendPacket = (host: Host): void => {
		const next = host.streams.entries().next().value;
		if (next === undefined) {
			return;
		}

		const [stream, waiting] = next;
		const queued = waiting[0]!;
		const sizeBytes = Math.min(bytesPerMs, queued.leftBytes);
		queued.leftBytes -= sizeBytes;
		host.sentBytes += sizeBytes;
		hosts.get(queued.to)!.incoming.push({
			atMs: nowMs + latencyMs, sizeBytes, queued, isEnd: queued.leftBytes === 0,
		});
		host.streams.delete(stream);
		if (queued.leftBytes === 0) {
			waiting.shift();
		}

		if (waiting.length > 0) {
			host.streams.set(stream, waiting);
		}
	};

	const receive = (host: Host): void => {
		for (let leftBytes = bytesPerMs * host.speed; leftBytes > 0 && (host.incoming[0]?.atMs ?? Number.POSITIVE_INFINITY) <= nowMs;) {
			const {sizeBytes, queued: {from, message}, isEnd} = host.incoming.shift()!;
			leftBytes -= sizeBytes;
			if (isEnd) {
				host.receivingFrom.delete(from);
				host.configCopies += Number(message.type === 'state' && message.config !== undefined);
				enqueue(host, host.catalogueSync.receive(from, message, nowMs));
			} else {
				host.receivingFrom.add(from);
			}
		}
	};

	/** Moves the queue of the present stream to a key of its own, so that it is still sent beside the new stream. */
	const reconnect = (host: Host, id: string): void => {
		const waiting = host.streams.get(`stream ${id}`);
		if (waiting !== undefined) {
			host.streams.delete(`stream ${id}`);
			host.streams.set(`stream ${id} until ${nowMs}`, waiting);
		}
	};

	const tick = (host: Host): void => {
		enqueue(host, host.catalogueSync.tick(nowMs));
		for (const id of host.catalogueSync.takeUnresponsivePeers()) {
			reconnect(host, id);
		}
	};

	const members: readonly ReaderCandidate[] = ids.map((hostId, index) => ({
		hostId, dataCentre: `dc-${index % dataCentreCount}`, capacity: hosts.get(hostId)!.speed,
	}));

	return {
		hosts,
		/** Ids of the gateways that are elected to read the store. */
		electedIds: (): readonly string[] => ids.filter(id => createReaderElection(0).isReader(id, members, electionWaitMs)),
		nowMs: () => nowMs,
		read(id: string, read: Parameters<CatalogueSync['applyStoreRead']>[0]): void {
			const host = hosts.get(id)!;
			enqueue(host, host.catalogueSync.applyStoreRead(read, nowMs));
		},
		/** Runs for `durationMs`, or until `isDone` returns true. */
		run(durationMs: number, isDone: () => boolean = () => false): void {
			for (const endMs = nowMs + durationMs; nowMs < endMs && !isDone(); nowMs++) {
				for (const host of hosts.values()) {
					receive(host);
					if (nowMs % tickIntervalMs === host.tickOffsetMs) {
						tick(host);
					}

					for (let packet = 0; packet < host.speed; packet++) {
						sendPacket(host);
					}
				}
			}
		},
		/** Resets the counters. */
		resetCounts(): void {
			for (const host of hosts.values()) {
				host.configCopies = 0;
				host.sentBytes = 0;
			}
		},
	};
};
