import {expect} from 'chai';
import type {MemberView} from '@egretwing/core';
import {createPeerEndWatch, type PeerEnd} from '../src/peer-ends.ts';

const member = (changes: Partial<Omit<MemberView, 'host'>> = {}): MemberView => ({
	host: {
		role: 'entry', hostId: 'g2', address: '127.0.0.1', region: 'r', dataCentre: 'd', state: 'live', entryPort: 1, locatePort: 2, peerPort: 3,
	},
	status: 'alive',
	entryState: 'up',
	entryIncarnation: 1000,
	usable: true,
	...changes,
});

describe('ends of processes of other gateways', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly seen: readonly MemberView[]; readonly ends: readonly PeerEnd[]}> = [
		{title: 'are none while a process is up', seen: [member(), member()], ends: []},
		{title: 'are none for a process that starts', seen: [member({entryIncarnation: 0, entryState: 'down'}), member()], ends: []},
		{
			title: 'are told by the next process if the old one left no word', seen: [member(), member({entryIncarnation: 1400})], ends: [{hostId: 'g2', how: 'restarted', untilNextStartMs: 400}],
		},
		{
			title: 'are told once for a process that announces its shutdown', seen: [member(), member({entryState: 'draining'}), member({status: 'left'}), member({entryIncarnation: 9000})], ends: [{hostId: 'g2', how: 'announced'}],
		},
		{
			title: 'are told for a process that is not heard any more, and not again when the next one starts', seen: [member(), member({status: 'dead'}), member({entryIncarnation: 9000})], ends: [{hostId: 'g2', how: 'lost'}],
		},
		{
			title: 'are told for each process of a crash loop', seen: [member(), member({entryIncarnation: 1300}), member({entryIncarnation: 1600})], ends: [{hostId: 'g2', how: 'restarted', untilNextStartMs: 300}, {hostId: 'g2', how: 'restarted', untilNextStartMs: 300}],
		},
	];
	for (const {title, seen, ends} of cases) {
		it(title, () => {
			const watch = createPeerEndWatch();
			expect(seen.flatMap(view => watch.observe([view]))).to.deep.equal(ends);
		});
	}
});
