import net from 'node:net';
import {once} from 'node:events';
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {createPeerStreams, frameBytes, type PeerStreams} from '@egretwing/node';
import {networkOf} from '../../../test/support/network.ts';

const network = networkOf(211);
const peerPort = 21_700;
const [own, peer, other] = [1, 2, 3].map(number => ({address: `${network}.${number}`, peerPort})) as [Endpoint, Endpoint, Endpoint];
const settleMs = 50;
/** More than a message that has begun may pause. */
const pauseMs = 400;

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

	const frame = frameBytes(Buffer.alloc(1000));

	/** Whether a message of the peer, and of another one, arrives after a part of it was sent. */
	const arrivingAfter = async (sentBytes: number, waitMs: number): Promise<readonly boolean[]> => {
		socket.write(frame.subarray(0, sentBytes));
		await delay(waitMs);
		return [streams.isArriving(peer), streams.isArriving(other)];
	};

	const cases: ReadonlyArray<{readonly title: string; readonly sentBytes: number; readonly waitMs: number; readonly expected: boolean}> = [
		{
			title: 'nothing came', sentBytes: 0, waitMs: settleMs, expected: false,
		},
		{
			title: 'a part of a message came', sentBytes: 500, waitMs: settleMs, expected: true,
		},
		{
			title: 'a part came and nothing for a while', sentBytes: 500, waitMs: pauseMs, expected: false,
		},
		{
			title: 'the message is whole', sentBytes: frame.length, waitMs: settleMs, expected: false,
		},
	];
	for (const {
		title, sentBytes, waitMs, expected,
	} of cases) {
		it(`${expected ? 'tell' : 'do not tell'} that a message of a peer arrives when ${title}`, async () => {
			expect(await arrivingAfter(sentBytes, waitMs)).to.deep.equal([expected, false]);
			expect(received).to.have.length(sentBytes === frame.length ? 1 : 0);
		});
	}
});
