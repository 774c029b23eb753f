import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {resetSocket} from '@egretwing/node';
import {networkOf} from '../../../test/support/network.ts';

const address = `${networkOf(216)}.1`;
const closedWithinMs = 500;
const port = 7000;

describe('reset of a connection', () => {
	// Guards against a handle that stays open after its reset, for which a process that has nothing else to do waits in a busy loop.
	const cases: ReadonlyArray<readonly [title: string, before: (socket: net.Socket) => Promise<void> | void]> = [
		['that is open', () => undefined],
		['whose end was just asked for', socket => {
			socket.end();
		}],
		['whose end and last bytes were just asked for', socket => {
			socket.end('last');
		}],
		['with bytes that nobody reads', socket => {
			socket.write(new Uint8Array(20_000_000));
		}],
		['with bytes that nobody reads, and an end', socket => {
			socket.end(new Uint8Array(20_000_000));
		}],
		['whose end was sent', async socket => {
			socket.end();
			await once(socket, 'finish');
		}],
	];
	for (const [title, before] of cases) {
		it(`closes one ${title}`, async () => {
			const accepted: net.Socket[] = [];
			const server = net.createServer({allowHalfOpen: true, pauseOnConnect: true}, socket => {
				accepted.push(socket.on('error', () => undefined));
			});
			server.listen(port, address);
			await once(server, 'listening');
			try {
				const socket = net.connect({host: address, port, allowHalfOpen: true});
				const seen: string[] = [];
				socket.on('error', error => {
					seen.push(error.message);
				});
				socket.once('close', () => {
					seen.push('close');
				});
				await once(socket, 'connect');
				await before(socket);
				resetSocket(socket);
				await delay(closedWithinMs);
				expect(seen).to.deep.equal(['close']);
			} finally {
				server.close();
				for (const socket of accepted) {
					socket.destroy();
				}
			}
		});
	}
});
