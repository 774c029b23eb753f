import {expect} from 'chai';
import {
	gatewaysForCaller, placeCallers, toCallerGateways, type EntryState, type MemberStatus,
} from '@egretwing/core';

type Member = {
	readonly id: string;
	readonly dataCentre: string;
	readonly capacity?: number;
	readonly status?: MemberStatus;
	readonly entryState?: EntryState;
};

const toMember = ({id, dataCentre, capacity, status = 'alive', entryState = 'up'}: Member) => ({
	host: {
		role: 'entry' as const, hostId: id, address: '127.0.0.1', region: 'r', dataCentre, state: 'live' as const, entryPort: 1, locatePort: 2, peerPort: 3, ...(capacity !== undefined && {capacity}),
	},
	status,
	entryState,
	usable: status === 'alive' && entryState === 'up',
});

describe('placement of callers', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly members: readonly Member[]; readonly caller: string | undefined; readonly expected: readonly string[]}> = [
		{
			title: 'names the gateway of highest capacity in the data centre of the caller',
			members: [{id: 'a1', dataCentre: 'a', capacity: 0.1}, {id: 'a2', dataCentre: 'a', capacity: 1}, {id: 'b1', dataCentre: 'b', capacity: 1}],
			caller: 'a',
			expected: ['a2'],
		},
		{
			title: 'names the gateways of all data centres to a caller without a data centre',
			members: [{id: 'a1', dataCentre: 'a'}, {id: 'b1', dataCentre: 'b'}],
			caller: undefined,
			expected: ['a1', 'b1'],
		},
		{
			title: 'names the gateways of other data centres when that of the caller has none',
			members: [{id: 'a1', dataCentre: 'a', status: 'dead'}, {id: 'b1', dataCentre: 'b'}],
			caller: 'a',
			expected: ['b1'],
		},
		{
			title: 'names gateways that have just started, so that callers use the same ones after a loss of all',
			members: [{
				id: 'a1', dataCentre: 'a', capacity: 0.1, entryState: 'down',
			}, {
				id: 'a2', dataCentre: 'a', capacity: 1, entryState: 'down',
			}],
			caller: 'a',
			expected: ['a2'],
		},
		{
			title: 'does not name gateways that are leaving, have left or are suspected',
			members: [
				{id: 'a1', dataCentre: 'a', entryState: 'draining'},
				{
					id: 'a2', dataCentre: 'a', status: 'left', entryState: 'down',
				},
				{
					id: 'a3', dataCentre: 'a', status: 'suspect', entryState: 'down',
				},
				{id: 'a4', dataCentre: 'a'},
			],
			caller: 'a',
			expected: ['a4'],
		},
	];
	const sizes: ReadonlyArray<readonly [members: number, highCapacityCount: number, named: number]> = [[1, 1, 1], [15, 15, 1], [42, 3, 2], [126, 8, 6]];
	for (const [count, highCapacityCount, named] of sizes) {
		it(`names ${named} of ${count} gateways of a data centre, those of high capacity first`, () => {
			const members = Array.from({length: count}, (_, index): Member => ({id: `a${index}`, dataCentre: 'a', capacity: index < highCapacityCount ? 1 : 0.1}));
			const ids = gatewaysForCaller(placeCallers(toCallerGateways(members.map(member => toMember(member)))), 'a').map(({hostId}) => hostId);
			expect(ids).to.have.length(named);
			expect(ids.every(id => Number(id.slice(1)) < highCapacityCount)).to.equal(true);
		});
	}

	for (const {title, members, caller, expected} of cases) {
		it(title, () => {
			const placed = placeCallers(toCallerGateways(members.map(member => toMember(member))));
			expect(gatewaysForCaller(placed, caller).map(({hostId}) => hostId)).to.deep.equal(expected);
		});
	}
});
