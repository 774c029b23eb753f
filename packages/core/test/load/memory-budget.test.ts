import {expect} from 'chai';
import {
	createMemoryBudget, isMemoryShort, memoryLimitBytes, objectBytesOf, objectLimitBytes, type MemoryLease,
} from '@egretwing/core';

const megabyte = 1_048_576;
const chunkBytes = 65_536;

/** Uploads that send chunks by turns until `bodyBytes` are there; a refused one gives everything back. */
const replayUploads = (budget: ReturnType<typeof createMemoryBudget>, count: number, bodyBytes: number) => {
	const uploads = Array.from({length: count}, () => ({lease: budget.open(), leftBytes: bodyBytes, isRefused: false}));
	let peakBytes = 0;
	let smallRefused = 0;
	for (let sentBytes = 0; sentBytes < bodyBytes; sentBytes += chunkBytes) {
		for (const upload of uploads.filter(({isRefused}) => !isRefused)) {
			upload.isRefused = !upload.lease.reserve(chunkBytes);
			if (upload.isRefused) {
				upload.lease.release();
			} else {
				upload.leftBytes -= chunkBytes;
			}

			peakBytes = Math.max(peakBytes, budget.heldBytes());
		}

		const small = budget.open();
		smallRefused += Number(!small.reserve(1000));
		small.release();
	}

	return {whole: uploads.filter(({isRefused}) => !isRefused).length, peakBytes, smallRefused};
};

describe('memory budget', () => {
	for (const memoryMegabytes of [64, 128, 256, 350, 512, 2048]) {
		const limitBytes = memoryLimitBytes(memoryMegabytes);

		// Guards against uploads within the limit of one body that together take the memory of the machine.
		it(`bounds 40 uploads of 10 MB that never finish on a machine of ${memoryMegabytes} MB, and serves small requests beside them`, () => {
			const {peakBytes, smallRefused} = replayUploads(createMemoryBudget(limitBytes), 40, 10 * megabyte);
			expect(peakBytes).to.be.at.most(limitBytes);
			expect(smallRefused).to.equal(0);
		});

		it(`leaves memory for the process and for garbage on a machine of ${memoryMegabytes} MB`, () => {
			expect(limitBytes).to.be.within(4 * megabyte, Math.max(4, 0.6 * (memoryMegabytes - 100)) * megabyte);
		});
	}

	it('lets as many uploads become whole as fit', () => {
		expect(replayUploads(createMemoryBudget(100 * megabyte), 40, 10 * megabyte).whole).to.equal(7);
	});

	it('counts a cost for each piece, so that tiny pieces are bounded too', () => {
		const lease = createMemoryBudget(megabyte).open();
		let pieces = 0;
		while (lease.reserve(1)) {
			pieces++;
		}

		expect(pieces).to.be.below(5000);
	});

	const releases: ReadonlyArray<readonly [title: string, act: (lease: MemoryLease) => void]> = [
		['once', lease => {
			lease.release();
		}],
		['twice', lease => {
			lease.release();
			lease.release();
		}],
		['before a late reservation', lease => {
			lease.release();
			expect(lease.reserve(1)).to.equal(false);
		}],
	];
	for (const [title, act] of releases) {
		it(`holds nothing for a request that is released ${title}`, () => {
			const budget = createMemoryBudget(megabyte);
			const lease = budget.open();
			lease.reserve(1000);
			act(lease);
			expect(budget.heldBytes()).to.equal(0);
		});
	}

	const whileShort: ReadonlyArray<readonly [title: string, isShort: boolean, sizeBytes: number, isTaken: boolean]> = [
		['refuses a large request while the measured memory is short', true, 100_000, false],
		['takes a small request while the measured memory is short', true, 10_000, true],
		['takes a large request once it is not short any more', false, 100_000, true],
	];
	for (const [title, isShort, sizeBytes, isTaken] of whileShort) {
		it(title, () => {
			const budget = createMemoryBudget(10 * megabyte);
			budget.setShort(true);
			budget.setShort(isShort);
			expect([budget.fitsAlone(sizeBytes), budget.open().reserve(sizeBytes)]).to.deep.equal([isTaken, isTaken]);
		});
	}

	for (const memoryMegabytes of [128, 350, 2048]) {
		it(`takes the memory of a machine of ${memoryMegabytes} MB for short before it is used up`, () => {
			expect([0.5, 0.8, 0.9].map(share => isMemoryShort(share * memoryMegabytes * megabyte, memoryMegabytes))).to.deep.equal([false, false, true]);
		});
	}

	it('knows which sizes never fit', () => {
		const budget = createMemoryBudget(10 * megabyte);
		expect([1, 8, 9].map(megabytes => budget.fitsAlone(megabytes * megabyte))).to.deep.equal([true, true, false]);
	});

	// Guards against requests sent ahead, or heads of very many short fields, that fill the heap with few bytes.
	const heads: ReadonlyArray<readonly [title: string, headBytes: number, fieldCount: number]> = [
		['requests without fields', 30, 1],
		['ordinary requests', 800, 20],
		['heads of 1,400 short fields', 10_000, 1400],
	];
	for (const [title, headBytes, fieldCount] of heads) {
		it(`bounds the objects of ${title} within the heap, says before that they are short, and takes them again after their end`, () => {
			const limitBytes = objectLimitBytes(128 * megabyte);
			const budget = createMemoryBudget(10 * megabyte, limitBytes);
			const sizeBytes = objectBytesOf(headBytes, fieldCount);
			const leases: MemoryLease[] = [];
			let takenWhenShort: number | undefined;
			for (let lease = budget.open(); lease.reserveObjects(sizeBytes); lease = budget.open()) {
				leases.push(lease);
				takenWhenShort ??= budget.areObjectsShort() ? leases.length : undefined;
			}

			expect(budget.objectBytes()).to.be.within(limitBytes - sizeBytes, limitBytes).and.to.be.below(128 * megabyte);
			expect(takenWhenShort).to.be.below(leases.length);
			for (const lease of leases) {
				lease.release();
			}

			expect([budget.objectBytes(), budget.heldBytes(), budget.areObjectsShort(), budget.open().reserveObjects(sizeBytes)]).to.deep.equal([0, 0, false, true]);
		});
	}
});
