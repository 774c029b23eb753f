/** The connection from the entry to the agent on its host. */

import {messageVersion, type AgentToEntry, type EntryToAgent} from '@egretwing/core';
import {maintainConnection, type Connection, type Logger} from '@egretwing/node';
import {agentReconnectDelayMs} from './constants.ts';

/** A connection to the agent that is re-established whenever it is lost. */
export type AgentLink = {
	/** Sends a message to the agent; drops it while disconnected. */
	readonly send: (message: EntryToAgent) => void;
	readonly close: () => void;
};

/** Address of the agent and the handler for its messages. */
export type AgentLinkOptions = {
	readonly address: string;
	readonly port: number;
	readonly hostId: string;
	readonly incarnation: number;
	readonly logger: Logger;
	readonly onMessage: (message: AgentToEntry) => void;
};

/** Connects to the agent, sends `hello` on each connection and reconnects whenever the connection is lost. */
export const createAgentLink = (options: AgentLinkOptions): AgentLink => {
	const {hostId, incarnation, logger} = options;
	let current: Connection | undefined;
	const stop = maintainConnection({
		address: options.address,
		port: options.port,
		retryDelayMs: agentReconnectDelayMs,
		onOpen(connection) {
			current = connection;
			const hello: EntryToAgent = {
				type: 'hello', version: messageVersion, hostId, incarnation,
			};
			connection.send(hello);
			logger.info('connected to agent', {port: options.port});
		},
		onMessage(message) {
			options.onMessage(message as AgentToEntry);
		},
		onClose() {
			current = undefined;
			logger.warn('connection to agent lost; continuing with the last configuration');
		},
	});
	return {
		send(message) {
			current?.send(message);
		},
		close: stop,
	};
};
