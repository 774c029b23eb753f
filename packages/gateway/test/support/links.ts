/** Gateways behind links of limited capacity, in virtual time: streams share a sender's link by turns, a receiver's link is a queue. */

import {
	createCatalogue, createRandom, createReaderElection, createCatalogueSync, electionWaitMs, type Catalogue, type FleetConfig, type ReaderCandidate, type CatalogueSync, type CatalogueMessage, type CatalogueSend,
} from '@egretwing/core';
import {encodeMessage} from '../../src/mesh-message.ts';

/** What a link of 10 Mbit/s carries in a millisecond. */
const smallLinkBytesPerMs = 1250;
const latencyMs = 1;
const tickIntervalMs = 100;
const dataCentreCount = 3;

type Letter = {
	readonly from: string;
	readonly to: string;
	readonly message: CatalogueMessage;
	readonly sizeBytes: number;
	readonly stream: string;
	leftBytes: number;
};

/** A part of a message on its way, or its end. */
type Piece = {readonly atMs: number; readonly sizeBytes: number; readonly letter: Letter; readonly isEnd: boolean};

type Host = {
	readonly id: string;
	readonly catalogue: Catalogue;
	readonly spread: CatalogueSync;
	/** Capacity as a multiple of the small link's. */
	readonly speed: number;
	readonly tickOffsetMs: number;
	readonly streams: Map<string, Letter[]>;
	readonly arriving: Piece[];
	/** Peers of which a part of a message is there. */
	readonly midway: Set<string>;
	/** Number of whole configurations that arrived. */
	copies: number;
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

/** Creates `size` gateways, each twenty-first of them with a link ten times as fast as the others'. */
export const createLinkedFleet = (size: number, seed: number, bytesPerMs = smallLinkBytesPerMs) => {
	const sizeOf = createSizeOf();
	const ids = Array.from({length: size}, (_, index) => `g-${index}`);
	let nowMs = 0;
	const hosts = new Map<string, Host>(ids.map((id, index) => {
		const catalogue = createCatalogue();
		const spread = createCatalogueSync({
			selfId: id,
			catalogue,
			random: createRandom((seed * 1000) + index),
			peerIds: () => ids.filter(other => other !== id),
			localPeerIds: () => ids.filter((other, place) => other !== id && place % dataCentreCount === index % dataCentreCount),
			isReceivingFrom: peerId => hosts.get(id)!.midway.has(peerId),
			onChange: () => undefined,
		});
		return [id, {
			id, catalogue, spread, speed: index % 21 === 20 ? 10 : 1, tickOffsetMs: index * 37 % tickIntervalMs, streams: new Map(), arriving: [], midway: new Set(), copies: 0, sentBytes: 0,
		}];
	}));

	const post = (host: Host, sends: readonly CatalogueSend[]): void => {
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

	/** The stream whose turn it is sends one packet. */
	const sendPacket = (host: Host): void => {
		const next = host.streams.entries().next().value;
		if (next === undefined) {
			return;
		}

		const [stream, waiting] = next;
		const letter = waiting[0]!;
		const sizeBytes = Math.min(bytesPerMs, letter.leftBytes);
		letter.leftBytes -= sizeBytes;
		host.sentBytes += sizeBytes;
		hosts.get(letter.to)!.arriving.push({
			atMs: nowMs + latencyMs, sizeBytes, letter, isEnd: letter.leftBytes === 0,
		});
		host.streams.delete(stream);
		if (letter.leftBytes === 0) {
			waiting.shift();
		}

		if (waiting.length > 0) {
			host.streams.set(stream, waiting);
		}
	};

	const receive = (host: Host): void => {
		for (let leftBytes = bytesPerMs * host.speed; leftBytes > 0 && (host.arriving[0]?.atMs ?? Number.POSITIVE_INFINITY) <= nowMs;) {
			const {sizeBytes, letter: {from, message}, isEnd} = host.arriving.shift()!;
			leftBytes -= sizeBytes;
			if (isEnd) {
				host.midway.delete(from);
				host.copies += Number(message.type === 'state' && message.config !== undefined);
				post(host, host.spread.receive(from, message, nowMs));
			} else {
				host.midway.add(from);
			}
		}
	};

	/** What the present stream holds is still sent. */
	const renew = (host: Host, id: string): void => {
		const waiting = host.streams.get(`stream ${id}`);
		if (waiting !== undefined) {
			host.streams.delete(`stream ${id}`);
			host.streams.set(`stream ${id} until ${nowMs}`, waiting);
		}
	};

	const tick = (host: Host): void => {
		post(host, host.spread.tick(nowMs));
		for (const id of host.spread.takeUnresponsivePeers()) {
			renew(host, id);
		}
	};

	const members: readonly ReaderCandidate[] = ids.map((hostId, index) => ({
		hostId, dataCentre: `dc-${index % dataCentreCount}`, capacity: hosts.get(hostId)!.speed,
	}));

	return {
		hosts,
		/** The gateways that read the store. */
		electedIds: (): readonly string[] => ids.filter(id => createReaderElection(0).isReader(id, members, electionWaitMs)),
		nowMs: () => nowMs,
		read(id: string, news: Parameters<CatalogueSync['applyStoreRead']>[0]): void {
			const host = hosts.get(id)!;
			post(host, host.spread.applyStoreRead(news, nowMs));
		},
		/** Runs for `durationMs`; stops sooner once `isDone`. */
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
		/** Forgets what was counted. */
		resetCounts(): void {
			for (const host of hosts.values()) {
				host.copies = 0;
				host.sentBytes = 0;
			}
		},
	};
};
