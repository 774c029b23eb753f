/** Listens for the entry process of this host. */

import net from 'node:net';
import type {AgentToEntry, EntryToAgent} from '@egretwing/core';
import {createConnection, listen, type Connection} from '@egretwing/node';

/** The session with the entry. */
export type EntryLink = {
	readonly port: number;
	/** True while an entry is connected. */
	readonly connected: () => boolean;
	readonly send: (message: AgentToEntry) => void;
	readonly close: () => void;
};

/** Where to listen and who takes the entry's messages. */
export type EntryLinkOptions = {
	readonly address: string;
	readonly port: number;
	readonly onOpen: () => void;
	readonly onMessage: (message: EntryToAgent) => void;
	readonly onClose: () => void;
};

/** Starts listening; the newest connection is the entry. */
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
