/** Carries out the faults of the schedule that may end a process of a gateway. */

import {Buffer} from 'node:buffer';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '@egretwing/core';
import {holdPort} from '../support/held-port.ts';
import {
	drawOddBytes, oddRequests, sendBytes, sendDatagram,
} from '../support/odd-requests.ts';
import {
	gatewayPorts, operatorPort, seedCount, type SoakGateways,
} from './gateways.ts';
import {leastSignalAgeMs, type GatewayPort, type SoakAction} from './schedule.ts';

/** What the faults need of a run. */
export type EndsContext = {
	readonly gateways: SoakGateways;
	readonly addresses: readonly string[];
	/** Applies and records a signal. */
	readonly signal: (gateway: number, signal: 'SIGKILL' | 'SIGTERM' | 'SIGHUP') => void;
	/** Whether the faults are over. */
	readonly isCalm: () => boolean;
};

/** Largest body that gateways accept in a run with these faults. */
export const largestBodyBytes = 10_000_000;

const uploadBytes = 9_900_000;
const uploadsMs = 2000;
const randomBursts = 20;
const oddWaitMs = 200;
const pollMs = 2;
const startTimeoutMs = 5000;
const upload = Buffer.alloc(uploadBytes);

const portNumbers: Readonly<Record<GatewayPort, number>> = {
	front: gatewayPorts.front, ready: gatewayPorts.ready, lookup: gatewayPorts.lookup, peer: gatewayPorts.peer, 'peer-datagrams': gatewayPorts.peer, operator: operatorPort,
};

/** Resolves once `isTrue`, or after some seconds, or when the faults are over. */
const until = async ({isCalm}: EndsContext, isTrue: () => boolean): Promise<void> => {
	const untilMs = performance.now() + startTimeoutMs;
	while (!isTrue() && !isCalm() && performance.now() < untilMs) {
		await delay(pollMs);
	}
};

const sendOdd = async (address: string, port: GatewayPort, seed: number): Promise<void> => {
	const random = createRandom(seed);
	const drawn = Array.from({length: randomBursts}, () => drawOddBytes(random));
	await Promise.all(port === 'peer-datagrams'
		? drawn.map(async bytes => sendDatagram(address, gatewayPorts.peer, bytes))
		: [...oddRequests.map(([, bytes]) => bytes), ...drawn].map(async bytes => sendBytes(address, portNumbers[port], bytes, oddWaitMs)));
};

const signalEarly = async (context: EndsContext, gateway: number, signal: 'SIGHUP' | 'SIGTERM', agesMs: readonly number[]): Promise<void> => {
	for (const ageMs of agesMs) {
		const startCount = context.gateways.startCount(gateway);
		context.signal(gateway, 'SIGKILL');
		await until(context, () => context.gateways.startCount(gateway) > startCount);
		await until(context, () => (context.gateways.ageMs(gateway) ?? Number.POSITIVE_INFINITY) >= ageMs);
		if (context.isCalm()) {
			return;
		}

		context.signal(gateway, signal);
	}
};

const holdFor = async (context: EndsContext, gateway: number, port: GatewayPort, holdMs: number): Promise<void> => {
	context.signal(gateway, 'SIGKILL');
	await until(context, () => context.gateways.ageMs(gateway) === undefined);
	try {
		const release = await holdPort(port === 'peer-datagrams' ? 'datagram' : 'stream', context.addresses[gateway]!, portNumbers[port]);
		await delay(holdMs);
		release();
	} catch {
		// Another fault holds the port, or the gateway runs again.
	}
};

const sendUploads = async (address: string, callers: number): Promise<void> => {
	const sockets = Array.from({length: callers}, () => {
		const socket = net.connect({host: address, port: gatewayPorts.front});
		socket.on('error', () => undefined);
		socket.resume();
		socket.write(`POST /upload/unfinished HTTP/1.1\r\nhost: soak.example\r\ncontent-length: ${uploadBytes + 1}\r\n\r\n`);
		socket.write(upload);
		return socket;
	});
	await delay(uploadsMs);
	for (const socket of sockets) {
		socket.destroy();
	}
};

/** Sends SIGHUP, to a process that is younger than any program can handle it only when it is old enough. */
export const hangUp = async (context: EndsContext, gateway: number): Promise<void> => {
	await until(context, () => (context.gateways.ageMs(gateway) ?? leastSignalAgeMs) >= leastSignalAgeMs);
	context.signal(gateway, 'SIGHUP');
};

const changeSettings = async (context: EndsContext, action: SoakAction & {readonly type: 'settings'}): Promise<void> => {
	for (const gateway of action.killed) {
		context.signal(gateway, 'SIGKILL');
	}

	await delay(action.afterMs);
	await Promise.all(action.gateways.map(async gateway => {
		context.gateways.writeSeeds(gateway, [...context.addresses.slice(action.rotation), ...context.addresses].slice(0, seedCount));
		await hangUp(context, gateway);
	}));
};

/** An action that may end a process. */
export type EndsAction = SoakAction & {readonly type: 'odd-requests' | 'early-signal' | 'hold-port' | 'uploads' | 'settings'};

/** Carries out one action. */
export const applyEndsAction = async (context: EndsContext, action: EndsAction): Promise<void> => {
	switch (action.type) {
		case 'odd-requests': {
			return sendOdd(context.addresses[action.gateway]!, action.port, action.seed);
		}

		case 'early-signal': {
			return signalEarly(context, action.gateway, action.signal, action.agesMs);
		}

		case 'hold-port': {
			return holdFor(context, action.gateway, action.port, action.holdMs);
		}

		case 'uploads': {
			return sendUploads(context.addresses[action.gateway]!, action.callers);
		}

		case 'settings': {
			return changeSettings(context, action);
		}
	}
};

/** Whether a connection to the port can be opened. */
export const isListening = async (host: string, port: number): Promise<boolean> => new Promise(resolve => {
	const socket = net.connect({host, port});
	socket.once('connect', () => {
		socket.destroy();
		resolve(true);
	});
	socket.once('error', () => {
		resolve(false);
	});
});

/** Finds ports that no gateway listens on. */
export const checkListening = async (addresses: readonly string[]): Promise<readonly string[]> => {
	const ports = (['front', 'ready', 'lookup', 'peer', 'operator'] as const).map(name => [name, portNumbers[name]] as const);
	const checks = addresses.flatMap((address, number) => ports.map(async ([name, port]) => await isListening(address, port) ? [] : [`gateway-${number} isn't listening on its ${name} port at the end`]));
	const found = await Promise.all(checks);
	return found.flat();
};
