/** Distinguishes a reset connection from one that its peer closed in order. */

import type net from 'node:net';

/**
 * Watches a socket for a reset; the returned function is to be called once the socket has ended.
 *
 * Node.js reports a reset that arrives together with the last bytes as an ordinary end, but the socket then has no remote address.
 */
export const watchReset = (socket: net.Socket): (() => boolean) => {
	let hasPeer = true;
	socket.prependOnceListener('end', () => {
		hasPeer = socket.remoteAddress !== undefined;
	});
	return () => !hasPeer || socket.errored !== null;
};
