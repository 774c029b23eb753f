import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {createManualClock} from '@egretwing/core';
import {createSealer, encodeValue, encodeFrame} from '@egretwing/node';
import {createEntryMonitor} from '../src/entry-monitor.ts';
import {createEnvelopeCodec} from '../src/envelope.ts';
import {createPeers, type Peers} from '../src/peers.ts';
import {createReplayGuard} from '../src/replay-guard.ts';
import {networkOf} from '../../../test/support/network.ts';

const left = {address: `${networkOf(205)}.1`, peerPort: 8082};
const right = {address: `${networkOf(205)}.2`, peerPort: 8082};
const codecOf = (endpoint: typeof left, keys: readonly [string, ...string[]], startedMs = 1) => createEnvelopeCodec({
	hostId: endpoint.address, endpoint, startedMs, sealer: createSealer(keys),
});

describe('the channel between agents', () => {
	const keyRotations = [
		{
			title: 'the same key', sender: ['old'], receiver: ['old'], opens: true,
		},
		{
			title: 'a sender that already signs with the new key', sender: ['new', 'old'], receiver: ['old', 'new'], opens: true,
		},
		{
			title: 'a sender that still signs with the old key', sender: ['old'], receiver: ['new', 'old'], opens: true,
		},
		{
			title: 'a key that does not belong to the fleet', sender: ['other'], receiver: ['new', 'old'], opens: false,
		},
	] as const;
	for (const {title, sender, receiver, opens} of keyRotations) {
		it(`${opens ? 'opens' : 'refuses'} a message with ${title}`, () => {
			const sealed = codecOf(left, sender).seal(right, {kind: 'entry', body: 1});
			expect(codecOf(right, receiver).open(sealed).isOk()).to.equal(opens);
		});
	}

	const refusals = [
		{
			title: 'a message received before', reason: 'replayed', prepare(sealed: Uint8Array, open: (bytes: Uint8Array) => unknown) {
				open(sealed);
				return sealed;
			},
		},
		{title: 'a changed message', reason: 'wrong-seal', prepare: (sealed: Uint8Array) => sealed.map((byte, index) => index === 30 ? byte + 1 : byte)},
		{title: 'a message for another agent', reason: 'wrong-receiver', prepare: () => codecOf(left, ['key']).seal(left, 1)},
		{title: 'a sealed value that is not an envelope', reason: 'wrong-version', prepare: () => createSealer(['key']).seal(encodeValue({version: 2}))},
		{
			title: 'a message of an earlier process of its sender', reason: 'replayed', prepare(_sealed: Uint8Array, open: (bytes: Uint8Array) => unknown) {
				open(codecOf(left, ['key'], 9).seal(right, 1));
				return codecOf(left, ['key'], 8).seal(right, 1);
			},
		},
	];
	for (const {title, reason, prepare} of refusals) {
		it(`refuses ${title}`, () => {
			const codec = codecOf(right, ['key']);
			const sealed = prepare(codecOf(left, ['key']).seal(right, 1), codec.open);
			expect(codec.open(sealed).unwrapErr()).to.equal(reason);
		});
	}

	it('accepts out-of-order message numbers, each only once, in bounded memory', () => {
		const guard = createReplayGuard();
		const admit = (sequence: number) => guard.admit({hostId: 'a', startedMs: 1, sequence});
		for (let sequence = 1; sequence <= 10_000; sequence += 2) {
			expect([admit(sequence + 1), admit(sequence), admit(sequence)]).to.deep.equal([true, true, false]);
		}

		expect(admit(1)).to.be.false;
	});

	describe('over sockets', () => {
		let peers: readonly Peers[];
		const received: unknown[] = [];
		const refused: string[] = [];

		beforeEach(async () => {
			received.length = 0;
			refused.length = 0;
			peers = await Promise.all([left, right].map(async endpoint => createPeers({
				...endpoint,
				hostId: endpoint.address,
				fleetKeys: ['key'],
				startedMs: 1,
				onMessage(from, message) {
					received.push([from.hostId, message]);
				},
				onRefused(reason) {
					refused.push(reason);
				},
			})));
		});

		afterEach(() => {
			for (const peer of peers) {
				peer.close();
			}
		});

		const waitFor = async (done: () => boolean) => {
			for (let tries = 0; tries < 200 && !done(); tries++) {
				await delay(20);
			}
		};

		it('delivers small and large messages', async () => {
			const large = 'x'.repeat(500_000);
			peers[0]!.sendTo(right, 'small');
			peers[0]!.sendTo(right, large);
			await waitFor(() => received.length === 2);
			expect(received).to.have.deep.members([[`${networkOf(205)}.1`, 'small'], [`${networkOf(205)}.1`, large]]);
		});

		const invalidInputs = [
			{title: 'a frame longer than the limit', bytes: Uint8Array.from([0xFF, 0xFF, 0xFF, 0xFF, 1, 2]), reasons: []},
			{title: 'a frame without a seal', bytes: encodeFrame(encodeValue('a greeting that no key has sealed')), reasons: ['wrong-seal']},
		];
		for (const {title, bytes, reasons} of invalidInputs) {
			it(`closes a connection that sends ${title}`, async () => {
				const socket = net.connect(right.peerPort, right.address);
				socket.on('error', () => undefined);
				socket.write(bytes);
				await once(socket, 'close');
				expect(received).to.be.empty;
				expect(refused).to.deep.equal(reasons);
			});
		}
	});
});

describe('the entry monitor', () => {
	const hello = {
		type: 'hello', version: 1, hostId: 'e1', incarnation: 7,
	} as const;
	const cases = [
		{
			title: 'up after its hello message', waitMs: 0, ready: true, state: 'up',
		},
		{
			title: 'down without a configuration', waitMs: 0, ready: false, state: 'down',
		},
		{
			title: 'down when silent', waitMs: 2500, ready: true, state: 'down',
		},
	];
	for (const {title, waitMs, ready, state} of cases) {
		it(`counts an entry as ${title}`, () => {
			const clock = createManualClock();
			const monitor = createEntryMonitor();
			monitor.onMessage(hello, clock.nowMs());
			for (let elapsedMs = 0; elapsedMs < waitMs; elapsedMs += 50) {
				clock.advanceMs(50);
				monitor.check(clock.nowMs(), ready);
			}

			expect(monitor.check(clock.nowMs(), ready)).to.deep.equal({state, incarnation: 7});
		});
	}

	it('does not mistake a pause of the agent for silence of the entry', () => {
		const monitor = createEntryMonitor();
		monitor.onMessage(hello, 0);
		monitor.check(50, true);
		expect(monitor.check(60_000, true).state).to.equal('up');
	});

	it('reports draining until a new entry process sends its hello message', () => {
		const monitor = createEntryMonitor();
		monitor.onMessage(hello, 0);
		monitor.onMessage({type: 'draining', version: 1}, 0);
		monitor.onMessage(hello, 0);
		expect(monitor.check(50, true).state).to.equal('draining');
		monitor.onMessage({...hello, incarnation: 8}, 60);
		expect(monitor.check(100, true)).to.deep.equal({state: 'up', incarnation: 8});
	});
});
