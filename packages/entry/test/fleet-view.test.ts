import {expect} from 'chai';
import type {AgentToEntry} from '@egretwing/core';
import {createFleetView} from '../src/fleet-view.ts';
import {instanceAt} from './support/harness.ts';

const config = (ready: boolean): AgentToEntry => ({
	type: 'config', version: 1, records: [], ready,
});
const instances = (sequence: number, ...ids: readonly string[]): AgentToEntry => ({
	type: 'instances', version: 1, sequence, instances: ids.map((id, index) => instanceAt(id, 'settle', 9000 + index)),
});

describe('createFleetView', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly messages: readonly AgentToEntry[]; readonly ready: boolean; readonly named: readonly string[]}> = [
		{
			title: 'is not ready without a host list', messages: [config(true)], ready: false, named: [],
		},
		{
			title: 'is not ready with the empty list of an agent that has not read one', messages: [config(true), instances(0)], ready: false, named: [],
		},
		{
			title: 'is not ready with a partial configuration', messages: [config(false), instances(1, 'a')], ready: false, named: ['a'],
		},
		{
			title: 'is ready with a complete configuration and a host list', messages: [config(true), instances(1, 'a')], ready: true, named: ['a'],
		},
		{
			title: 'keeps its instances when a restarted agent has no list', messages: [config(true), instances(4, 'a'), instances(0)], ready: true, named: ['a'],
		},
		{
			title: 'keeps its instances when a restarted agent has an older list', messages: [config(true), instances(4, 'a'), instances(3, 'a', 'b')], ready: true, named: ['a'],
		},
		{
			title: 'applies a newer list', messages: [config(true), instances(4, 'a'), instances(5, 'b')], ready: true, named: ['b'],
		},
	];
	for (const {
		title, messages, ready, named,
	} of cases) {
		it(title, () => {
			const view = createFleetView();
			for (const message of messages) {
				view.apply(message);
			}

			expect(view.ready()).to.equal(ready);
			expect(view.instances('settle').map(({hostId}) => hostId)).to.deep.equal(named);
		});
	}
});
