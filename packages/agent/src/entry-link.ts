/** Listens for the connection of the entry process on this host. */

import net from 'node:net';
import type {AgentToEntry, EntryToAgent} from '@egretwing/core';
import {createConnection, listen, type Connection} from '@egretwing/node';

/** The connection from the entry. */
export type EntryLink = {
	readonly port: number;
	readonly connected: () => boolean;
	readonly send: (message: AgentToEntry) => void;
	readonly close: () => void;
};

/** Address to listen on and handlers for the connection of the entry. */
export type EntryLinkOptions = {
	readonly address: string;
	readonly port: number;
	readonly onOpen: () => void;
	readonly onMessage: (message: EntryToAgent) => void;
	readonly onClose: () => void;
};

/** Starts listening; a new connection replaces the previous one. */
export const createEntryLink = async (options: EntryLinkOptions): Promise<EntryLink> => {
	let current: Connection | undefined;
	const server = net.createServer(socket => {
		const connection: Connection = createConnection(socket, {
			onMessage(message) {
				options.onMessage(message as EntryToAgent);
			},
			onClose() {
				if (current === connection) {
					current = undefined;
					options.onClose();
				}
			},
		});
		current?.close();
		current = connection;
		options.onOpen();
	});
	const port = await listen(server, options.port, options.address);
	return {
		port,
		connected: () => current !== undefined,
		send(message) {
			current?.send(message);
		},
		close() {
			server.close();
			current?.close();
		},
	};
};
