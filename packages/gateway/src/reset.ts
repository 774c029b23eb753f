/** Tells a reset connection from one that its peer has ended. */

import type net from 'node:net';

/**
 * Watches for a reset; to be asked once the socket has ended.
 *
 * A reset that comes together with the last bytes is reported as an ordinary end, but leaves the socket without a peer.
 */
export const watchReset = (socket: net.Socket): (() => boolean) => {
	let hasPeer = true;
	socket.prependOnceListener('end', () => {
		hasPeer = socket.remoteAddress !== undefined;
	});
	return () => !hasPeer || socket.errored !== null;
};
