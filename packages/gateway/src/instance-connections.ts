/** Connections to one instance: which are reused, for how long, and which are closed. */

import http from 'node:http';
import type net from 'node:net';
import {idleCloseMarginMs, maxIdleConnectionMs, maxRequestsPerConnection} from './constants.ts';

const msPerSecond = 1000;

const keepAliveHintMs = (header: string | string[] | undefined): number => {
	const seconds = /timeout=(\d+)/v.exec(String(header ?? ''))?.[1];
	return seconds === undefined ? Number.POSITIVE_INFINITY : Number(seconds) * msPerSecond;
};

/** Connection to an instance. */
export type UpstreamSocket = net.Socket & {
	idleGuard?: () => void;
	idleSinceMs?: number;
	/** Ids of the requests that were sent on it. */
	carriedIds?: Set<string>;
};

/** Connection pool that bounds the reuse of connections and destroys those on which an instance sends unsolicited data. */
export class GuardedAgent extends http.Agent {
	readonly #nowMs: () => number;

	constructor(nowMs: () => number) {
		super({keepAlive: true, scheduling: 'lifo', noDelay: true});
		this.#nowMs = nowMs;
	}

	override keepSocketAlive(socket: UpstreamSocket): boolean {
		if (socket.destroyed || socket.readableLength > 0 || (socket.carriedIds?.size ?? 0) >= maxRequestsPerConnection) {
			return false;
		}

		socket.idleSinceMs = this.#nowMs();
		socket.idleGuard = () => {
			socket.destroy();
		};

		socket.on('data', socket.idleGuard);
		socket.setKeepAlive(true, msPerSecond);
		socket.unref();
		return true;
	}

	override reuseSocket(socket: UpstreamSocket, request: http.ClientRequest): void {
		if (socket.idleGuard !== undefined) {
			socket.off('data', socket.idleGuard);
		}

		socket.setTimeout(0);
		super.reuseSocket(socket, request);
	}

	closeIdleLongerThan(limitMs: number): void {
		const beforeMs = this.#nowMs() - limitMs;
		this.#closeFree(({idleSinceMs}) => (idleSinceMs ?? 0) < beforeMs);
	}

	/** Closes idle connections that carried this request before: a repeated earlier answer would have the right id. */
	closeCarriersOf(requestId: string): void {
		this.#closeFree(({carriedIds}) => carriedIds?.has(requestId) === true);
	}

	#closeFree(isSelected: (socket: UpstreamSocket) => boolean): void {
		for (const socket of Object.values(this.freeSockets).flatMap(sockets => sockets ?? [])) {
			if (isSelected(socket)) {
				socket.destroy();
				// The agent may hand out a destroyed connection until it is told.
				socket.emit('agentRemove');
			}
		}
	}
}

/** Limits for how long the connection may be idle, which its instance may have announced in the `Keep-Alive` header. */
export const setIdleTimeout = (socket: net.Socket, header: string | string[] | undefined): void => {
	const idleMs = Math.min(maxIdleConnectionMs, keepAliveHintMs(header) - idleCloseMarginMs);
	if (idleMs <= 0) {
		socket.destroySoon();
		return;
	}

	socket.setTimeout(idleMs);
};
