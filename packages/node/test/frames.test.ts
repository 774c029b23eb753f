import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {
	createFrameReader, createSealer, decodeValue, encodeValue, frameBytes,
} from '../src/index.ts';

describe('createFrameReader', () => {
	const messages = [{type: 'hello', version: 1}, {type: 'draining', list: [1, 'two', {three: 3}]}];
	const stream = Buffer.concat(messages.map(message => frameBytes(encodeValue(message))));
	for (const chunkBytes of [1, 3, 7, stream.length]) {
		it(`yields whole messages from chunks of ${chunkBytes} bytes`, () => {
			const reader = createFrameReader();
			const seen: unknown[] = [];
			for (let offset = 0; offset < stream.length; offset += chunkBytes) {
				const payloads = reader.push(stream.subarray(offset, offset + chunkBytes)).unwrap();
				seen.push(...payloads.map(payload => decodeValue(payload).unwrap()));
			}

			expect(seen).to.deep.equal(messages);
		});
	}

	it('refuses a frame over the limit before it is whole', () => {
		const reader = createFrameReader(16);
		expect(reader.push(Buffer.from([0, 0, 1, 0])).unwrapErr()).to.equal('frame-too-large');
	});
});

describe('createSealer', () => {
	const payload = Buffer.from('payload');
	const cases = [
		{title: 'opens what the same key sealed', keys: ['a'], opens: true},
		{title: 'opens with the second of two keys', keys: ['b', 'a'], opens: true},
		{title: 'refuses what another key sealed', keys: ['b'], opens: false},
	] as const;
	for (const {title, keys, opens} of cases) {
		it(title, () => {
			const sealed = createSealer(['a']).seal(payload);
			expect(createSealer(keys).open(sealed).isOk()).to.equal(opens);
		});
	}

	it('refuses a changed payload', () => {
		const sealer = createSealer(['a']);
		const sealed = sealer.seal(payload);
		sealed[sealed.length - 1] = 0;
		expect(sealer.open(sealed).isErr()).to.be.true;
	});
});
