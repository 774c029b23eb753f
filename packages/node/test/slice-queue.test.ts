import process from 'node:process';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {createSliceQueue} from '../src/slice-queue.ts';

const sliceBytes = 4096;

/** Bytes of one turn of the event loop. */
const turnBytes = 65_536;

/** Bytes parsed in each of `turns` turns of the event loop, by connections that always have more. */
const countBytesByTurn = async (connections: number, turns: number): Promise<readonly number[]> => {
	const queue = createSliceQueue(() => false);
	let parsedBytes = 0;
	let isEnded = false;
	const createPump = (): (() => number) => {
		const pump = (): number => {
			parsedBytes += sliceBytes;
			if (!isEnded) {
				queue.add(pump);
			}

			return sliceBytes;
		};

		return pump;
	};

	for (let index = 0; index < connections; index++) {
		queue.add(createPump());
	}

	const byTurn: number[] = [];
	for (let turn = 0; turn < turns; turn++) {
		await nextTurn();
		byTurn.push(parsedBytes);
		parsedBytes = 0;
	}

	isEnded = true;
	return byTurn;
};

describe('queue of slices', () => {
	for (const connections of [1, 3, 40]) {
		it(`parses at most one turn's bytes in each turn of the event loop, with ${connections} connections that add themselves again`, async () => {
			const byTurn = await countBytesByTurn(connections, 50);
			expect(Math.max(...byTurn)).to.be.at.most(turnBytes);
		});
	}

	it('goes on with the other connections after an error of one', async () => {
		const queue = createSliceQueue(() => false);
		const parsed: string[] = [];
		const errors: unknown[] = [];
		const listeners = process.listeners('uncaughtException');
		process.removeAllListeners('uncaughtException');
		process.once('uncaughtException', error => {
			errors.push(error);
		});
		queue.add(() => {
			throw new Error('unreadable');
		});
		queue.add(() => {
			parsed.push('other');
			return sliceBytes;
		});
		await nextTurn();
		await nextTurn();
		queue.add(() => {
			parsed.push('later');
			return sliceBytes;
		});
		await nextTurn();
		await nextTurn();
		for (const listener of listeners) {
			process.on('uncaughtException', listener);
		}

		expect(errors.length).to.equal(1);
		expect(parsed).to.deep.equal(['other', 'later']);
	});
});
