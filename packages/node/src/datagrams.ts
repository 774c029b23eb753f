/** Datagram sockets. */

import type dgram from 'node:dgram';

/** Binds the socket; closes it and rejects if the address can't be bound. */
export const bindDatagrams = async (socket: dgram.Socket, port: number, address: string): Promise<void> => new Promise((resolve, reject) => {
	const fail = (error: Error): void => {
		socket.close();
		reject(error);
	};

	socket.once('error', fail);
	socket.bind(port, address, () => {
		socket.off('error', fail);
		resolve();
	});
});
