/** An in-memory network on a manual clock, with latency, packet loss, one-way link cuts, and paused and stopped nodes. */

import type {Random} from '../../src/index.ts';

type Packet<T> = {readonly atMs: number; readonly from: string; readonly to: string; readonly message: T};

export type Network<T> = {
	readonly send: (from: string, to: string, message: T, nowMs: number) => void;
	/** Delivers the packets due by `nowMs` in the order of sending, including replies sent meanwhile. */
	readonly deliver: (nowMs: number, receive: (packet: Packet<T>) => void) => void;
	/** Drops packets sent from `from` to `to`, in this direction only. */
	readonly cutLink: (from: string, to: string) => void;
	readonly restoreAllLinks: () => void;
	/** Holds back packets to `node` until it is resumed. */
	readonly pause: (node: string) => void;
	readonly resume: (node: string) => void;
	/** Drops packets to `node`. */
	readonly stop: (node: string) => void;
	readonly start: (node: string) => void;
	readonly isRunning: (node: string) => boolean;
	/** Number of packets sent by each node. */
	readonly sentBy: ReadonlyMap<string, number>;
};

export const createNetwork = <T>(random: Random, options: {readonly lossShare?: number; readonly latencyMs?: number} = {}): Network<T> => {
	const {lossShare = 0, latencyMs = 1} = options;
	const cutLinks = new Set<string>();
	const paused = new Set<string>();
	const stopped = new Set<string>();
	const sentBy = new Map<string, number>();
	let packets: Array<Packet<T>> = [];

	return {
		sentBy,
		send(from, to, message, nowMs) {
			sentBy.set(from, (sentBy.get(from) ?? 0) + 1);
			if (cutLinks.has(`${from}>${to}`) || stopped.has(to) || random.next() < lossShare) {
				return;
			}

			packets.push({
				atMs: nowMs + (latencyMs * (0.5 + random.next())), from, to, message,
			});
		},
		deliver(nowMs, receive) {
			for (;;) {
				const due = packets.filter(packet => packet.atMs <= nowMs && !paused.has(packet.to));
				if (due.length === 0) {
					return;
				}

				packets = packets.filter(packet => packet.atMs > nowMs || paused.has(packet.to));
				for (const packet of due.filter(({to}) => !stopped.has(to))) {
					receive(packet);
				}
			}
		},
		cutLink(from, to) {
			cutLinks.add(`${from}>${to}`);
		},
		restoreAllLinks() {
			cutLinks.clear();
		},
		pause(node) {
			paused.add(node);
		},
		resume(node) {
			paused.delete(node);
		},
		stop(node) {
			stopped.add(node);
			paused.delete(node);
			packets = packets.filter(({to}) => to !== node);
		},
		start(node) {
			stopped.delete(node);
		},
		isRunning: node => !stopped.has(node) && !paused.has(node),
	};
};
