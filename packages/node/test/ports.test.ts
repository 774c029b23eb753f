import dgram from 'node:dgram';
import {once} from 'node:events';
import net from 'node:net';
import {expect} from 'chai';
import {
	bindDatagrams, createLogger, listen, openWhenFree,
} from '@egretwing/node';
import {networkOf} from '../../../test/support/network.ts';

const logger = createLogger('test', 'host', 0);
const address = `${networkOf(217)}.1`;
const port = 7000;
const failure = (code: string): Error => Object.assign(new Error(code), {code});

describe('listener whose port is in use', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly failures: readonly string[]; readonly abortAtAttempt?: number; readonly result: string | undefined; readonly attempts: number}> = [
		{
			title: 'opens at once where the port is free', failures: [], result: 'open', attempts: 1,
		},
		{
			title: 'opens when the port is free', failures: ['EADDRINUSE', 'EADDRINUSE'], result: 'open', attempts: 3,
		},
		{
			title: 'opens when the address is set up', failures: ['EADDRNOTAVAIL'], result: 'open', attempts: 2,
		},
		{
			title: 'does not open after the wait was ended', failures: ['EADDRINUSE', 'EADDRINUSE'], abortAtAttempt: 2, result: undefined, attempts: 2,
		},
		{
			title: 'fails where waiting does not help', failures: ['EACCES'], result: 'EACCES', attempts: 1,
		},
	];
	for (const {title, failures, abortAtAttempt, result, attempts} of cases) {
		it(title, async () => {
			const abort = new AbortController();
			let calls = 0;
			const opened = openWhenFree(async () => {
				calls++;
				if (calls === abortAtAttempt) {
					abort.abort();
				}

				const code = failures[calls - 1];
				if (code !== undefined) {
					throw failure(code);
				}

				return 'open';
			}, {listener: 'test', logger, signal: abort.signal});
			expect(await opened.catch((error: unknown) => (error as NodeJS.ErrnoException).code)).to.equal(result);
			expect(calls).to.equal(attempts);
		});
	}

	// Guards against a wait for a port that takes a descriptor with each attempt.
	it('closes a datagram socket that can not be bound', async () => {
		const holder = dgram.createSocket('udp4').bind(port, address);
		await once(holder, 'listening');
		const socket = dgram.createSocket('udp4');
		const isClosed = new Promise(resolve => {
			socket.once('close', () => {
				resolve(true);
			});
		});
		const failed = await bindDatagrams(socket, port, address).catch((error: unknown) => (error as NodeJS.ErrnoException).code);
		expect([failed, await isClosed]).to.deep.equal(['EADDRINUSE', true]);
		holder.close();
	});

	it('leaves no handlers at a server that can not be bound', async () => {
		const holder = net.createServer().listen(port, address);
		await once(holder, 'listening');
		const server = net.createServer();
		const failed = await listen(server, port, address).catch((error: unknown) => (error as NodeJS.ErrnoException).code);
		expect([failed, server.listenerCount('listening'), server.listenerCount('error')]).to.deep.equal(['EADDRINUSE', 0, 0]);
		holder.close();
	});
});
