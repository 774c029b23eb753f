/** A small in-memory network on a manual clock: latency, loss, one-way cuts, frozen and stopped nodes. */

import type {Random} from '../../src/index.ts';

type Packet<T> = {readonly atMs: number; readonly from: string; readonly to: string; readonly message: T};

export type Network<T> = {
	readonly send: (from: string, to: string, message: T, nowMs: number) => void;
	/** Hands out what is due by `nowMs`, oldest first, replies sent meanwhile included. */
	readonly deliver: (nowMs: number, receive: (packet: Packet<T>) => void) => void;
	/** Loses everything from `from` to `to`, in this direction only. */
	readonly cut: (from: string, to: string) => void;
	readonly healAll: () => void;
	/** Holds packets to `node` back until it is thawed. */
	readonly freeze: (node: string) => void;
	readonly thaw: (node: string) => void;
	/** Drops packets to `node`. */
	readonly stop: (node: string) => void;
	readonly start: (node: string) => void;
	readonly isRunning: (node: string) => boolean;
	/** Packets sent so far by each node. */
	readonly sentBy: ReadonlyMap<string, number>;
};

export const createNetwork = <T>(random: Random, options: {readonly lossShare?: number; readonly latencyMs?: number} = {}): Network<T> => {
	const {lossShare = 0, latencyMs = 1} = options;
	const cuts = new Set<string>();
	const frozen = new Set<string>();
	const stopped = new Set<string>();
	const sentBy = new Map<string, number>();
	let packets: Array<Packet<T>> = [];

	return {
		sentBy,
		send(from, to, message, nowMs) {
			sentBy.set(from, (sentBy.get(from) ?? 0) + 1);
			if (cuts.has(`${from}>${to}`) || stopped.has(to) || random.next() < lossShare) {
				return;
			}

			packets.push({
				atMs: nowMs + (latencyMs * (0.5 + random.next())), from, to, message,
			});
		},
		deliver(nowMs, receive) {
			for (;;) {
				const due = packets.filter(packet => packet.atMs <= nowMs && !frozen.has(packet.to));
				if (due.length === 0) {
					return;
				}

				packets = packets.filter(packet => packet.atMs > nowMs || frozen.has(packet.to));
				for (const packet of due.filter(({to}) => !stopped.has(to))) {
					receive(packet);
				}
			}
		},
		cut(from, to) {
			cuts.add(`${from}>${to}`);
		},
		healAll() {
			cuts.clear();
		},
		freeze(node) {
			frozen.add(node);
		},
		thaw(node) {
			frozen.delete(node);
		},
		stop(node) {
			stopped.add(node);
			frozen.delete(node);
			packets = packets.filter(({to}) => to !== node);
		},
		start(node) {
			stopped.delete(node);
		},
		isRunning: node => !stopped.has(node) && !frozen.has(node),
	};
};
