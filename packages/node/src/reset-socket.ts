/** Resets connections. */

import type net from 'node:net';

/**
 * Resets a connection. Node.js can't reset one while its end is on the way: the handle would stay open for good, and a process
 * that ends without `process.exit` would wait for it in a busy loop. Its reset follows the end then.
 */
export const resetSocket = (socket: net.Socket): void => {
	if (socket.writableEnded && !socket.writableFinished && socket.writableLength === 0 && !socket.destroyed) {
		socket.once('finish', () => {
			socket.resetAndDestroy();
		});
		return;
	}

	socket.resetAndDestroy();
};
