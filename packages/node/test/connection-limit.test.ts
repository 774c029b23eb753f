import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {expect} from 'chai';
import {pickStale, limitConnections} from '../src/connection-limit.ts';
import {listen} from '../src/http.ts';

const address = '127.0.0.1';

describe('limit of connections', () => {
	const cases: ReadonlyArray<readonly [title: string, connections: readonly string[], picked: string | undefined]> = [
		['picks the one without a request in progress whose progress is the longest ago', ['busy 1', 'idle 1', 'idle 2'], 'idle 1'],
		['picks the first one where all have a request in progress', ['busy 1', 'busy 2'], 'busy 1'],
		['picks none where there is none', [], undefined],
		['looks at some only', [...Array.from({length: 100}, (_, index) => `busy ${index}`), 'idle'], 'busy 0'],
	];
	for (const [title, connections, picked] of cases) {
		it(title, () => {
			expect(pickStale(connections, name => name.startsWith('busy'))).to.equal(picked);
		});
	}

	it('closes an idle connection rather than one whose request has just begun to arrive', async () => {
		const server = http.createServer((request, response) => {
			request.resume();
			request.once('end', () => {
				response.end('served');
			});
		});
		limitConnections(server, {maxConnections: 2, isBusy: () => false, onClosed: () => undefined});
		const port = await listen(server, 0, address);
		const connect = async (): Promise<net.Socket> => {
			const socket = net.connect({host: address, port});
			socket.on('error', () => undefined);
			await once(socket, 'connect');
			return socket;
		};

		const uploading = await connect();
		const idle = await connect();
		const began = once(server, 'request');
		uploading.write('POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\na');
		await began;
		await Promise.all([connect(), once(idle, 'close')]);
		uploading.write('b');
		const [answer] = await once(uploading, 'data') as [Uint8Array];
		expect(String(answer).endsWith('served')).to.equal(true);
		server.close();
		server.closeAllConnections();
	});

	it('closes the stalest connection for a new one, and serves the others', async () => {
		const server = http.createServer((_request, response) => {
			response.end('served');
		});
		let closed = 0;
		limitConnections(server, {
			maxConnections: 2, isBusy: () => false, onClosed() {
				closed++;
			},
		});
		const port = await listen(server, 0, address);
		const connect = async (): Promise<net.Socket> => {
			const socket = net.connect({host: address, port});
			socket.on('error', () => undefined);
			await once(socket, 'connect');
			return socket;
		};

		const ask = async (socket: net.Socket): Promise<string> => {
			socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
			const [answer] = await once(socket, 'data') as [Uint8Array];
			return String(answer);
		};

		const first = await connect();
		await ask(first);
		const second = await connect();
		await ask(second);
		await ask(first);
		const third = await connect();
		const [thirdAnswer] = await Promise.all([ask(third), once(second, 'close')]);
		expect([thirdAnswer, await ask(first)].map(answer => answer.endsWith('served'))).to.deep.equal([true, true]);
		expect(closed).to.equal(1);
		server.close();
		server.closeAllConnections();
	});
});
