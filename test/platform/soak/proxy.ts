/** A loopback proxy between gateways and instances or the store, which injects connection faults. */

import net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {listen, resetSocket} from '@egretwing/node';

/** Fault that applies to all connections of a proxy. */
export type ProxyFault
	= | {readonly type: 'none'}
		| {readonly type: 'delay'; readonly delayMs: number}
		/** Open connections are reset, and new ones as soon as they are accepted. */
		| {readonly type: 'reset'}
		/** Bytes of the named direction are dropped; nothing is closed. */
		| {readonly type: 'silence'; readonly direction: 'requests' | 'answers' | 'both'};

/** A running proxy. */
export type Proxy = {
	readonly setFault: (fault: ProxyFault) => void;
	readonly close: () => void;
};

/** Listens on `address` and `port` and forwards connections to `targetPort` of the same address. */
export const createProxy = async (address: string, port: number, targetPort: number): Promise<Proxy> => {
	let fault: ProxyFault = {type: 'none'};
	const pairs = new Set<readonly [net.Socket, net.Socket]>();

	const pass = (from: net.Socket, to: net.Socket, direction: 'requests' | 'answers'): void => {
		let last = Promise.resolve();
		/** Preserves the order of data and end events while they are delayed. */
		const enqueue = (act: () => void): void => {
			const delayMs = fault.type === 'delay' ? fault.delayMs : 0;
			last = last.then(async () => {
				await (delayMs > 0 ? delay(delayMs) : undefined);
				act();
			});
		};

		from.on('data', bytes => {
			if (fault.type === 'silence' && (fault.direction === 'both' || fault.direction === direction)) {
				return;
			}

			enqueue(() => {
				to.write(bytes);
			});
		});
		from.on('end', () => {
			enqueue(() => {
				to.end();
			});
		});
	};

	const server = net.createServer({allowHalfOpen: true}, incoming => {
		if (fault.type === 'reset') {
			resetSocket(incoming);
			return;
		}

		const outgoing = net.connect({host: address, port: targetPort, allowHalfOpen: true});
		const pair = [incoming, outgoing] as const;
		pairs.add(pair);
		for (const [socket, other] of [[incoming, outgoing], [outgoing, incoming]] as const) {
			socket.on('error', () => {
				resetSocket(other);
			});
			socket.on('close', () => {
				pairs.delete(pair);
				other.destroySoon();
			});
		}

		pass(incoming, outgoing, 'requests');
		pass(outgoing, incoming, 'answers');
	});
	await listen(server, port, address);

	const resetAll = (): void => {
		for (const [incoming, outgoing] of pairs) {
			resetSocket(incoming);
			resetSocket(outgoing);
		}
	};

	return {
		setFault(next) {
			fault = next;
			if (next.type === 'reset') {
				resetAll();
			}
		},
		close() {
			server.close();
			resetAll();
		},
	};
};
