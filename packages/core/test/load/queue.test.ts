import {expect} from 'chai';
import fc from 'fast-check';
import {createFairQueue, type Queued} from '../../src/load/queue.ts';

type Item = Queued & {readonly id: number};

const seed = 4;
const bounds = {maxLength: 8, maxWaitMs: 100};

const createItem = (id: number, workspace: string, deadlineMs = 10_000): Item => ({id, workspace, deadlineMs});

describe('fair queue', () => {
	it('takes requests of workspaces round robin, in order within each workspace', () => {
		const queue = createFairQueue<Item>();
		for (const [id, workspace] of ['a', 'a', 'a', 'b', 'c'].entries()) {
			queue.add(createItem(id, workspace), bounds, 0);
		}

		const taken = Array.from({length: 5}, () => queue.take(() => true)?.id);
		expect(taken).to.deep.equal([0, 3, 4, 1, 2]);
	});

	it('displaces the newest request of the workspace with the most requests in favour of one with fewer', () => {
		const queue = createFairQueue<Item>();
		for (let id = 0; id < 8; id++) {
			queue.add(createItem(id, 'large'), bounds, 0);
		}

		expect(queue.add(createItem(8, 'large'), bounds, 0)).to.deep.equal({type: 'refused', kind: 'overloaded'});
		expect(queue.add(createItem(9, 'small'), bounds, 0)).to.deep.include({type: 'queued-in-place-of', displaced: createItem(7, 'large')});
		expect(queue.add(createItem(10, 'large'), bounds, 0)).to.deep.equal({type: 'refused', kind: 'workspace-limit'});
	});

	const drops = [
		{
			title: 'keeps a request that can meet its deadline', deadlineMs: 150, nowMs: 99, neededMs: 51, kind: undefined,
		},
		{
			title: 'drops a request whose deadline leaves too little time', deadlineMs: 150, nowMs: 99, neededMs: 52, kind: 'deadline-expired',
		},
		{
			title: 'drops a request that waited for the longest allowed time', deadlineMs: 1000, nowMs: 100, neededMs: 0, kind: 'queue-timeout',
		},
	];
	for (const {title, deadlineMs, nowMs, neededMs, kind} of drops) {
		it(title, () => {
			const queue = createFairQueue<Item>();
			queue.add(createItem(1, 'a', deadlineMs), bounds, 0);
			const dropped = queue.expire(bounds, neededMs, nowMs).map(drop => drop.kind);
			expect(dropped).to.deep.equal(kind === undefined ? [] : [kind]);
		});
	}

	it('accounts for each request exactly once within its bounds, in any order of calls', () => {
		const step = fc.oneof(
			fc.record({type: fc.constant('add' as const), workspace: fc.constantFrom('a', 'b', 'c', 'd')}),
			fc.record({type: fc.constant('take' as const)}),
			fc.record({type: fc.constant('expire' as const), afterMs: fc.nat(60)}),
			fc.record({type: fc.constant('remove' as const), id: fc.nat(40)}),
		);
		fc.assert(fc.property(fc.array(step, {maxLength: 80}), steps => {
			const queue = createFairQueue<Item>();
			const waiting = new Map<number, Item>();
			let nextId = 0;
			let nowMs = 0;
			const leave = (item: Item | undefined) => {
				expect(item === undefined || waiting.delete(item.id)).to.be.true;
			};

			for (const current of steps) {
				switch (current.type) {
					case 'add': {
						const item = createItem(nextId++, current.workspace);
						const addition = queue.add(item, bounds, nowMs);
						if (addition.type !== 'refused') {
							waiting.set(item.id, item);
						}

						leave(addition.type === 'queued-in-place-of' ? addition.displaced : undefined);
						break;
					}

					case 'take': {
						const item = queue.take(() => true);
						expect(item === undefined).to.equal(waiting.size === 0);
						leave(item);
						break;
					}

					case 'expire': {
						nowMs += current.afterMs;
						for (const {item} of queue.expire(bounds, 0, nowMs)) {
							leave(item);
						}

						break;
					}

					case 'remove': {
						const item = waiting.get(current.id);
						expect(item !== undefined && queue.remove(item)).to.equal(item !== undefined);
						leave(item);
						break;
					}
				}

				expect(queue.length()).to.equal(waiting.size);
				expect(queue.length()).to.be.at.most(bounds.maxLength);
				expect(queue.workspaceCount()).to.equal(new Set(Array.from(waiting.values(), item => item.workspace)).size);
			}
		}), {seed, numRuns: 300});
	});
});
