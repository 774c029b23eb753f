/** The session of the entry with the agent of its host. */

import {messageVersion, type AgentToEntry, type EntryToAgent} from '@egretwing/core';
import {dial, type Connection, type Logger} from '@egretwing/node';
import {agentRetryDelayMs} from './constants.ts';

/** An open or reopening session. */
export type AgentLink = {
	/** Sends to the agent; dropped while the session is down. */
	readonly send: (message: EntryToAgent) => void;
	readonly close: () => void;
};

/** Where the agent is and who takes its messages. */
export type AgentLinkOptions = {
	readonly address: string;
	readonly port: number;
	readonly hostId: string;
	readonly incarnation: number;
	readonly logger: Logger;
	readonly onMessage: (message: AgentToEntry) => void;
};

/** Opens the session, greets the agent and opens it again whenever it ends. */
export const createAgentLink = (options: AgentLinkOptions): AgentLink => {
	const {hostId, incarnation, logger} = options;
	let current: Connection | undefined;
	const stop = dial({
		address: options.address,
		port: options.port,
		retryDelayMs: agentRetryDelayMs,
		onOpen(connection) {
			current = connection;
			const hello: EntryToAgent = {
				type: 'hello', version: messageVersion, hostId, incarnation,
			};
			connection.send(hello);
			logger.info('agent session open', {port: options.port});
		},
		onMessage(message) {
			options.onMessage(message as AgentToEntry);
		},
		onClose() {
			current = undefined;
			logger.warn('agent session lost; the last configuration stays in force');
		},
	});
	return {
		send(message) {
			current?.send(message);
		},
		close: stop,
	};
};
