/** Crowds of callers that send what no well-behaved caller sends, or that stop half-way. None of them reads an answer. */

import {Buffer} from 'node:buffer';
import net from 'node:net';

/** What one crowd sends to one path of a gateway. */
export type Crowd = {
	readonly title: string;
	readonly callers: number;
	/** What each caller writes, one write after the other. */
	readonly writes: (path: string) => ReadonlyArray<string | Uint8Array>;
};

/** Largest body and head that the configuration of these tests allows, in bytes. */
export const limits = {bodyBytes: 10_000_000, headBytes: 16_384} as const;

const host = 'hostile.example';

const headOf = (method: string, path: string, ...fields: readonly string[]): string => [`${method} ${path} HTTP/1.1`, `host: ${host}`, ...fields, '', ''].join('\r\n');

const lengthHead = (path: string, sizeBytes: number): string => headOf('POST', path, `content-length: ${sizeBytes}`);

const chunkedHead = (path: string): string => headOf('POST', path, 'transfer-encoding: chunked');

const chunkOf = (sizeBytes: number): string => `${sizeBytes.toString(16)}\r\n${'x'.repeat(sizeBytes)}\r\n`;

const manyOf = (count: number, text: string): Uint8Array => Buffer.from(text.repeat(count));

const shortFieldCount = 1400;
const shortFields = Array.from({length: shortFieldCount}, (_, index) => `${index.toString(36)}:`);
const largeBody = Buffer.alloc(5_000_000);
const piece = Buffer.alloc(1000);
const oneByteChunks = manyOf(200_000, chunkOf(1));
const overLimit = manyOf(400, chunkOf(65_536));

/** Sizes are fixed: they show the faults of a gateway on the small machine of these tests. */
export const crowds: readonly Crowd[] = [
	{title: 'bodies of legal size in one piece that stop short of their end', callers: 40, writes: path => [lengthHead(path, largeBody.length + 1), largeBody]},
	{title: 'bodies of legal size in small pieces that stop short of their end', callers: 60, writes: path => [lengthHead(path, 1_000_000), ...Array.from({length: 900}, () => piece)]},
	{title: 'bodies in chunks of one byte that stop short of their end', callers: 60, writes: path => [chunkedHead(path), oneByteChunks]},
	{title: 'bodies far over the limit with a length', callers: 20, writes: path => [lengthHead(path, 100_000_000), ...Array.from({length: 5}, () => largeBody)]},
	{title: 'bodies far over the limit in chunks', callers: 20, writes: path => [chunkedHead(path), overLimit]},
	{title: 'heads of legal size with very many short fields', callers: 100, writes: path => [manyOf(40, headOf('GET', path, ...shortFields))]},
	{title: 'trailers with very many short fields', callers: 100, writes: path => [manyOf(40, `${chunkedHead(path)}1\r\nx\r\n0\r\n${shortFields.join('x\r\n')}x\r\n\r\n`)]},
	{title: 'chunk extensions with very many short names', callers: 60, writes: path => [chunkedHead(path), manyOf(2000, `1;${'a;'.repeat(500)}a\r\nx\r\n`)]},
	{title: 'requests ahead whose answers nobody reads', callers: 60, writes: path => [manyOf(2000, headOf('GET', path))]},
	{title: 'heads that stop half-way', callers: 400, writes: path => [`GET ${path} HTTP/1.1\r\nhost: ${host}\r\nx: ${'y'.repeat(8000)}`]},
	{title: 'small bodies that stop half-way', callers: 400, writes: path => [lengthHead(path, 60_000), piece]},
];

/** The connections of a running crowd. */
export type RunningCrowd = {
	/** Whether each caller has sent everything, or its connection was closed. */
	readonly isDone: () => boolean;
	readonly leave: () => void;
};

/** Lets each caller of a crowd connect and write; none reads, and none closes its connection. */
export const startCrowd = ({callers, writes}: Crowd, address: string, port: number, path: string): RunningCrowd => {
	const bytes = writes(path);
	const sockets = Array.from({length: callers}, () => {
		const socket = net.connect({host: address, port});
		socket.on('error', () => undefined);
		for (const written of bytes) {
			socket.write(written);
		}

		return socket;
	});
	return {
		isDone: () => sockets.every(socket => socket.destroyed || (!socket.connecting && socket.writableLength === 0)),
		leave() {
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};
