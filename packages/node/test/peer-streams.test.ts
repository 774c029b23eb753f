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
/** Time after which gateways are in touch again when connections have gone silent (`contact_ms`). */
const contactMs = 3000;
const sendIntervalMs = 200;

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

/** A peer that accepts connections and reads nothing until it is told to. */
const startPausedPeer = async () => {
	const connections: net.Socket[] = [];
	const parts = new Map<net.Socket, Buffer[]>();
	const server = net.createServer({pauseOnConnect: true}, connection => {
		connections.push(connection);
		parts.set(connection, []);
		connection.on('data', bytes => {
			parts.get(connection)!.push(bytes);
		});
	});
	server.listen(peerPort, peer.address);
	await once(server, 'listening');
	return {
		server,
		connections,
		/** Reads what has been sent on a connection. */
		async read(connection: net.Socket): Promise<Buffer> {
			connection.resume();
			await delay(pauseMs);
			return Buffer.concat(parts.get(connection)!);
		},
		close() {
			server.close();
			for (const connection of connections) {
				connection.destroy();
			}
		},
	};
};

describe('streams to a peer whose connection accepts data and delivers nothing', () => {
	let streams: PeerStreams;
	let paused: Awaited<ReturnType<typeof startPausedPeer>>;

	beforeEach(async () => {
		paused = await startPausedPeer();
		streams = await createPeerStreams({...own, onMessage: () => true});
	});

	afterEach(() => {
		streams.close();
		paused.close();
	});

	/** Sends the first message and, until gateways are in touch again, small ones at short intervals. */
	const sendUntilInTouch = async (first: Buffer): Promise<void> => {
		streams.send(peer, first);
		await once(paused.server, 'connection');
		for (const endsAtMs = performance.now() + contactMs; performance.now() < endsAtMs;) {
			await delay(sendIntervalMs);
			streams.send(peer, Buffer.alloc(10, 1));
		}
	};

	it('use a new connection once gateways count as in touch again, though none was idle meanwhile', async () => {
		// Guards against gateways that keep to an old configuration for good after connections between them went silent.
		await sendUntilInTouch(Buffer.alloc(10, 1));
		const last = Buffer.alloc(10, 2);
		streams.send(peer, last);
		await delay(deliveryMs);
		expect(paused.connections.length).to.be.at.least(2);
		const arrived = await paused.read(paused.connections.at(-1)!);
		expect(arrived.includes(encodeFrame(last))).to.equal(true);
	});

	it('send a large message to its end, however long the peer takes to read it', async () => {
		// Guards against a remedy for silent connections that closes the connection to a slow but living peer.
		const large = Buffer.alloc(largeBytes, 2);
		await sendUntilInTouch(large);
		const arrived = await paused.read(paused.connections[0]!);
		expect(arrived.subarray(0, encodeFrame(large).length).equals(encodeFrame(large))).to.equal(true);
	});
});
