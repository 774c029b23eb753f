/** Probes whether an instance accepts a connection. */

import net from 'node:net';
import type {Destination} from './attempt.ts';

/** Resolves to true if a connection opens, to false if it fails or takes longer than `timeoutMs`. */
export const probeConnection = async ({address, port}: Destination, timeoutMs: number): Promise<boolean> => new Promise(resolve => {
	const socket = net.connect({host: address, port, timeout: timeoutMs});
	const end = (isOpen: boolean): void => {
		socket.destroy();
		resolve(isOpen);
	};

	socket.once('connect', () => {
		end(true);
	});
	socket.once('timeout', () => {
		end(false);
	});
	socket.once('error', () => {
		end(false);
	});
});
