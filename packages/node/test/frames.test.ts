import {Buffer} from 'node:buffer';
import process from 'node:process';
import {expect} from 'chai';
import {
	createFrameReader, createSealer, decodeValue, encodeValue, encodeFrame, maxFrameBytes,
} from '../src/index.ts';

describe('createFrameReader', () => {
	const messages = [{type: 'hello', version: 1}, {type: 'draining', list: [1, 'two', {three: 3}]}];
	const stream = Buffer.concat(messages.map(message => encodeFrame(encodeValue(message))));
	for (const chunkBytes of [1, 3, 7, stream.length]) {
		it(`returns complete messages from chunks of ${chunkBytes} bytes`, () => {
			const reader = createFrameReader();
			const seen: unknown[] = [];
			for (let offset = 0; offset < stream.length; offset += chunkBytes) {
				const payloads = reader.push(stream.subarray(offset, offset + chunkBytes)).unwrap();
				seen.push(...payloads.map(payload => decodeValue(payload).unwrap()));
			}

			expect(seen).to.deep.equal(messages);
		});
	}

	it('takes less than a second of CPU time for the largest frame in packets', () => {
		const frame = encodeFrame(Buffer.alloc(maxFrameBytes, 7));
		const reader = createFrameReader();
		const packetBytes = 1448;
		const seen: Buffer[] = [];
		const before = process.cpuUsage();
		for (let offset = 0; offset < frame.length; offset += packetBytes) {
			seen.push(...reader.push(frame.subarray(offset, offset + packetBytes)).unwrap());
		}

		const {user, system} = process.cpuUsage(before);
		expect(seen.map(payload => payload.length)).to.deep.equal([maxFrameBytes]);
		expect((user + system) / 1000).to.be.below(1000);
	});

	it('rejects a frame over the limit before it is complete', () => {
		const reader = createFrameReader(16);
		expect(reader.push(Buffer.from([0, 0, 1, 0])).unwrapErr()).to.equal('frame-too-large');
	});
});

describe('createSealer', () => {
	const payload = Buffer.from('payload');
	const cases = [
		{title: 'opens a payload sealed with the same key', keys: ['a'], opens: true},
		{title: 'opens with the second of two keys', keys: ['b', 'a'], opens: true},
		{title: 'rejects a payload sealed with another key', keys: ['b'], opens: false},
	] as const;
	for (const {title, keys, opens} of cases) {
		it(title, () => {
			const sealed = createSealer(['a']).seal(payload);
			expect(createSealer(keys).open(sealed).isOk()).to.equal(opens);
		});
	}

	it('rejects a changed payload', () => {
		const sealer = createSealer(['a']);
		const sealed = sealer.seal(payload);
		sealed[sealed.length - 1] = 0;
		expect(sealer.open(sealed).isErr()).to.be.true;
	});
});
