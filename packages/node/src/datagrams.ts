/** Datagram sockets. */

import type dgram from 'node:dgram';

/** Binds the socket; rejects if the address can't be bound. */
export const bindDatagrams = async (socket: dgram.Socket, port: number, address: string): Promise<void> => new Promise((resolve, reject) => {
	socket.once('error', reject);
	socket.bind(port, address, () => {
		socket.off('error', reject);
		resolve();
	});
});
