/** Sockets that hold a port which a process wants. */

import dgram from 'node:dgram';
import {once} from 'node:events';
import net from 'node:net';

/** Kind of the socket that holds a port. */
export type PortKind = 'stream' | 'datagram';

/** Occupies a port, as a process that was killed may for a while; rejects while another socket has it. */
export const holdPort = async (kind: PortKind, address: string, port: number): Promise<() => void> => {
	if (kind === 'datagram') {
		const socket = dgram.createSocket('udp4');
		socket.bind(port, address);
		await once(socket, 'listening');
		return () => {
			socket.close();
		};
	}

	const server = net.createServer(socket => {
		socket.destroy();
	});
	server.listen(port, address);
	await once(server, 'listening');
	return () => {
		server.close();
	};
};
