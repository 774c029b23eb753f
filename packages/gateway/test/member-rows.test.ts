import {expect} from 'chai';
import type {EntryHost, MemberMessage, MemberUpdate} from '@egretwing/core';
import {encodeValue} from '@egretwing/node';
import {
	fromHostRow, fromMemberRows, toHostRow, toMemberRows,
} from '../src/member-rows.ts';

const host = (index: number, changes: Partial<EntryHost> = {}): EntryHost => ({
	role: 'entry', hostId: `front-ga-north-a-${index}`, address: `10.1.0.${index}`, region: 'ga-north', dataCentre: 'ga-north-a', state: 'live', entryPort: 8548, locatePort: 8546, peerPort: 7540, capacity: 0.54, ...changes,
});

const update = (index: number, changes: Partial<MemberUpdate> = {}): MemberUpdate => ({
	host: host(index), incarnation: 1_800_000_000_000 + index, status: 'alive', entryState: 'up', entryIncarnation: 4, suspectedBy: [], ...changes,
});

describe('rows of members', () => {
	const messages: readonly MemberMessage[] = [
		{type: 'gossip', updates: [update(1), update(2, {status: 'suspect', suspectedBy: ['front-ga-north-a-9']})]},
		{
			type: 'ping', sequence: 4, target: 'g', introduce: true, updates: [],
		},
		{
			type: 'state', sequence: 5, updates: [update(3, {status: 'left'})], wanted: [1, 2],
		},
		{type: 'state-digest', sequence: 6, groups: [1, 2, 3]},
	];
	for (const message of messages) {
		it(`carry ${message.type} without loss`, () => {
			expect(fromMemberRows(toMemberRows(message))).to.deep.equal(message);
		});
	}

	it('carry a host that does not state its capacity', () => {
		const {capacity: _capacity, ...withoutCapacity} = host(1);
		expect(fromHostRow(toHostRow(withoutCapacity))).to.deep.equal(withoutCapacity);
	});

	it('take less than half of the bytes of objects', () => {
		const message: MemberMessage = {type: 'gossip', updates: [1, 2, 3, 4, 5, 6].map(index => update(index))};
		expect(encodeValue(toMemberRows(message)).length).to.be.below(encodeValue(message).length / 2);
	});
});
