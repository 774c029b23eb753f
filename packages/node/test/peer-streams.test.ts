import net from 'node:net';
import {once} from 'node:events';
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {createPeerStreams, encodeFrame, type PeerStreams} from '@egretwing/node';
import {networkOf} from '../../../test/support/network.ts';

const network = networkOf(211);
const peerPort = 21_700;
const [own, peer, other] = [1, 2, 3].map(number => ({address: `${network}.${number}`, peerPort})) as [Endpoint, Endpoint, Endpoint];
const deliveryMs = 50;
/** Longer than the pause after which a partial message counts as stalled. */
const pauseMs = 400;
/** Larger than the socket buffers of a connection. */
const largeBytes = 8_000_000;

type Endpoint = {readonly address: string; readonly peerPort: number};

describe('streams between peers', () => {
	let streams: PeerStreams;
	let socket: net.Socket;
	const received: Buffer[] = [];

	beforeEach(async () => {
		received.length = 0;
		streams = await createPeerStreams({
			...own,
			onMessage(message) {
				received.push(message);
				return true;
			},
		});
		socket = net.connect({host: own.address, port: peerPort, localAddress: peer.address});
		await once(socket, 'connect');
	});

	afterEach(() => {
		socket.destroy();
		streams.close();
	});

	const frame = encodeFrame(Buffer.alloc(1000));

	/** Whether a message of the peer, and of another one, counts as being received after `sentBytes` of it were sent. */
	const isReceivingAfter = async (sentBytes: number, waitMs: number): Promise<readonly boolean[]> => {
		socket.write(frame.subarray(0, sentBytes));
		await delay(waitMs);
		return [streams.isReceivingFrom(peer), streams.isReceivingFrom(other)];
	};

	const cases: ReadonlyArray<{readonly title: string; readonly sentBytes: number; readonly waitMs: number; readonly expected: boolean}> = [
		{
			title: 'nothing was received', sentBytes: 0, waitMs: deliveryMs, expected: false,
		},
		{
			title: 'a part of a message was received', sentBytes: 500, waitMs: deliveryMs, expected: true,
		},
		{
			title: 'a part was received and then nothing for a while', sentBytes: 500, waitMs: pauseMs, expected: false,
		},
		{
			title: 'the message is complete', sentBytes: frame.length, waitMs: deliveryMs, expected: false,
		},
	];
	for (const {
		title, sentBytes, waitMs, expected,
	} of cases) {
		it(`${expected ? 'report' : 'do not report'} that a message is being received when ${title}`, async () => {
			expect(await isReceivingAfter(sentBytes, waitMs)).to.deep.equal([expected, false]);
			expect(received).to.have.length(sentBytes === frame.length ? 1 : 0);
		});
	}

	it('send queued data on the current connection and the next message on a new one after a reconnect', async () => {
		const sockets: net.Socket[] = [];
		const readers = new Map<net.Socket, Buffer[]>();
		const slow = net.createServer({pauseOnConnect: true}, connection => {
			sockets.push(connection);
		});
		slow.listen(peerPort, peer.address);
		await once(slow, 'listening');
		const large = Buffer.alloc(largeBytes, 1);
		const small = Buffer.alloc(10, 2);
		streams.send(peer, large);
		await once(slow, 'connection');
		streams.reconnect(peer);
		streams.send(peer, small);
		await once(slow, 'connection');
		await Promise.all(sockets.map(async connection => {
			const parts: Buffer[] = [];
			readers.set(connection, parts);
			connection.on('data', bytes => {
				parts.push(bytes);
			});
			connection.resume();
			await delay(pauseMs);
		}));
		slow.close();
		streams.close();
		const arrived = Array.from(readers.values(), parts => Buffer.concat(parts));
		expect(arrived.map(({length}) => length)).to.deep.equal([large, small].map(message => encodeFrame(message).length));
		expect(arrived.map((bytes, index) => bytes.equals(encodeFrame([large, small][index]!)))).to.deep.equal([true, true]);
	});
});
