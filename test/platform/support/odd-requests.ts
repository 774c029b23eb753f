/** Request lines and bytes that no proper caller sends, and ways to send them. */

import dgram from 'node:dgram';
import net from 'node:net';
import {encodeFrame, encodeValue} from '@egretwing/node';
import type {Random} from '@egretwing/core';

const headOf = (target: string): string => `GET ${target} HTTP/1.1\r\nhost: ends.example\r\nconnection: close\r\n\r\n`;

/** Odd requests of HTTP; the bytes are in Latin-1. */
export const oddRequests: ReadonlyArray<readonly [title: string, bytes: string]> = [
	['a target of two slashes', headOf('//')],
	['a target with an invalid authority', headOf('//[')],
	['an absolute target without a host', headOf('http://')],
	['a target with an invalid escape', headOf('/%zz?service=%zz&zone=%')],
	['a target with a tab', headOf('/upload/x\ty')],
	['the target of all resources', 'OPTIONS * HTTP/1.1\r\nhost: ends.example\r\nconnection: close\r\n\r\n'],
	['a tunnel', 'CONNECT //:x HTTP/1.1\r\nhost: ends.example\r\nconnection: close\r\n\r\n'],
	['an upgrade', 'GET // HTTP/1.1\r\nhost: ends.example\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n'],
	['bytes that are no request', '\u0000\u0001\u0002\u00FF\u00FE\r\n\r\n'],
];

const longestOddBytes = 200;
const longestOddArray = 8;
const oddItems: readonly unknown[] = [0, -1, 2 ** 53, Number.NaN, null, true, '', 'gateway-0', [], {}, [[]], new Uint8Array(3)];

/** Draws random bytes, or an array of CBOR with random items, with or without the length that a frame begins with. */
export const drawOddBytes = (random: Random): Uint8Array => {
	const number = (count: number): number => Math.floor(random.next() * count);
	const bytes = random.next() < 0.5
		? Uint8Array.from({length: number(longestOddBytes)}, () => number(256))
		: encodeValue(Array.from({length: number(longestOddArray)}, () => oddItems[number(oddItems.length)]));
	return random.next() < 0.5 ? bytes : encodeFrame(bytes);
};

/** Sends bytes and resolves with what comes back until the other side closes, or until `waitMs` have passed. */
export const sendBytes = async (host: string, port: number, bytes: Uint8Array | string, waitMs = 500): Promise<string> => new Promise(resolve => {
	const socket = net.connect({host, port});
	let text = '';
	const end = (): void => {
		socket.destroy();
		resolve(text);
	};

	socket.setTimeout(waitMs, end);
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
	});
	socket.once('error', end);
	socket.once('close', end);
	socket.once('connect', () => {
		socket.write(bytes, 'latin1');
	});
});

/** Sends a datagram; nothing tells whether it arrives. */
export const sendDatagram = async (host: string, port: number, bytes: Uint8Array): Promise<void> => new Promise(resolve => {
	const socket = dgram.createSocket('udp4');
	socket.once('error', () => undefined);
	socket.send(bytes, port, host, () => {
		socket.close(resolve);
	});
});
