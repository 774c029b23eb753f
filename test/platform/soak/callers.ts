/** Callers that look up gateways, keep connections open and send requests of each kind. */

import http from 'node:http';
import {performance} from 'node:perf_hooks';
import type {Random} from '@egretwing/core';
import {platformHeaderNames as names} from '../../../platform/names.ts';
import {gatewayPorts} from './gateways.ts';
import {digestHeader, digestOf} from './instances.ts';

/** How a request ended for its caller. */
export type CallEnd
	= | {readonly type: 'answered'; readonly statusCode: number; readonly flaw: string}
		/** The connection ended without an answer. */
		| {readonly type: 'closed'; readonly detail: string}
		/** No connection could be opened. */
		| {readonly type: 'unreachable'};

/** A request and how it ended. */
export type Call = {
	readonly requestId: string;
	readonly kind: 'read' | 'write' | 'upload';
	readonly path: string;
	readonly gateway: string;
	readonly sentAtMs: number;
	readonly endedAtMs: number;
	readonly end: CallEnd;
};

/** The callers of one run. */
export type Callers = {
	/** Sends a request; the call is recorded when it ends. */
	readonly send: (kind: Call['kind'], path: string) => Promise<void>;
	/** Sends a request to a given gateway, without a lookup. */
	readonly probe: (gateway: string, path: string) => Promise<CallEnd>;
	readonly calls: () => readonly Call[];
	readonly close: () => void;
};

const deadlineMs = 1500;
const lookupTimeoutMs = 500;
const uploadBytes = 40_000;
const writeBytes = 500;
const hostName = 'soak.example';

const bodyOf = (kind: Call['kind'], random: Random): string | undefined => {
	switch (kind) {
		case 'read': {
			return undefined;
		}

		case 'write': {
			return String(random.next()).repeat(writeBytes / 10);
		}

		case 'upload': {
			return String(random.next()).repeat(uploadBytes / 10);
		}
	}
};

/** Creates callers that use the lookup listeners of `gateways`. */
export const createCallers = (gateways: readonly string[], dataCentres: readonly string[], random: Random): Callers => {
	const agent = new http.Agent({keepAlive: true, maxSockets: 256, timeout: 10_000});
	const calls: Call[] = [];
	const known = new Map<string, {readonly addresses: readonly string[]; readonly untilMs: number}>();
	let counter = 0;

	const lookup = async (dataCentre: string, askedGateway: string): Promise<readonly string[] | undefined> => new Promise(resolve => {
		const request = http.get({
			host: askedGateway, port: gatewayPorts.lookup, path: `/lookup?name=${hostName}&zone=${dataCentre}`, timeout: lookupTimeoutMs, agent: false,
		}, response => {
			let text = '';
			response.setEncoding('utf8').on('data', (chunk: string) => {
				text += chunk;
			});
			response.once('end', () => {
				if (response.statusCode !== 200) {
					resolve(undefined);
					return;
				}

				const {addresses, ttl_s: keptSeconds} = JSON.parse(text) as {readonly addresses: readonly string[]; readonly ttl_s: number};
				known.set(dataCentre, {addresses, untilMs: performance.now() + (keptSeconds * 1000)});
				resolve(addresses);
			});
			response.once('error', () => {
				resolve(undefined);
			});
		});
		request.once('timeout', () => {
			request.destroy();
		});
		request.once('error', () => {
			resolve(undefined);
		});
	});

	/** Chooses a gateway for the next request. Lookup answers are cached for their time to live, and longer while lookups fail. */
	const locate = async (): Promise<string> => {
		const dataCentre = dataCentres[Math.floor(random.next() * dataCentres.length)]!;
		const cached = known.get(dataCentre);
		let addresses = cached?.addresses;
		if (cached === undefined || performance.now() > cached.untilMs) {
			for (let attempt = 0; attempt < 3; attempt++) {
				const askedGateway = gateways[Math.floor(random.next() * gateways.length)]!;
				const found = await lookup(dataCentre, askedGateway);
				if (found !== undefined) {
					addresses = found;
					break;
				}
			}
		}

		const chosen = addresses?.[Math.floor(random.next() * addresses.length)];
		return chosen === undefined ? gateways[Math.floor(random.next() * gateways.length)]! : chosen.split(':')[0]!;
	};

	const call = async (gateway: string, requestId: string, path: string, body: string | undefined): Promise<CallEnd> => new Promise(resolve => {
		const digest = digestOf(body ?? '');
		let isConnected = false;
		const request = http.request({
			agent, host: gateway, port: gatewayPorts.front, path, method: body === undefined ? 'GET' : 'POST', headers: {
				host: hostName, [names.requestId]: requestId, [names.deadlineMs]: String(deadlineMs), [digestHeader]: digest, ...(body !== undefined && {'content-length': String(body.length)}),
			},
		}, response => {
			let text = '';
			response.setEncoding('utf8').on('data', (chunk: string) => {
				text += chunk;
			});
			response.once('end', () => {
				clearTimeout(timer);
				const isSuccess = response.statusCode === 200;
				const isOwn = text === `${requestId} ${digest}` && response.headers[names.signature] !== undefined;
				resolve({type: 'answered', statusCode: response.statusCode ?? 0, flaw: isSuccess && !isOwn ? `got ${text.slice(0, 60)}` : ''});
			});
			response.once('error', error => {
				clearTimeout(timer);
				resolve({type: 'closed', detail: error.message});
			});
		});
		const timer = setTimeout(() => {
			request.destroy(new Error('deadline of the caller'));
		}, deadlineMs);
		request.once('socket', socket => {
			isConnected = request.reusedSocket;
			if (!isConnected) {
				socket.once('connect', () => {
					isConnected = true;
				});
			}
		});
		request.once('error', error => {
			clearTimeout(timer);
			resolve(isConnected ? {type: 'closed', detail: error.message} : {type: 'unreachable'});
		});
		request.end(body);
	});

	const nextId = (): string => `r${counter++}`;

	return {
		async send(kind, path) {
			const gateway = await locate();
			const requestId = nextId();
			const sentAtMs = Date.now();
			const end = await call(gateway, requestId, path, bodyOf(kind, random));
			calls.push({
				requestId, kind, path, gateway, sentAtMs, endedAtMs: Date.now(), end,
			});
		},
		probe: async (gateway, path) => call(gateway, nextId(), path, undefined),
		calls: () => calls,
		close() {
			agent.destroy();
		},
	};
};
