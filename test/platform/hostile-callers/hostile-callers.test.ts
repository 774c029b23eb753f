import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {crowds, startCrowd} from './crowds.ts';
import {
	address, doors, holdsNothing, isReady, isServing, machine, onSmallMachine, peakMegabytesOf, socketCountOf,
} from './small-machine.ts';

/** Time for which a crowd holds its connections once it has sent what the gateway takes, and the longest time for the sending. */
const holdMs = 500;
const maxSendMs = 3000;
const sampleMs = 50;

describe('process of the gateway before callers that it does not control', function () {
	this.timeout(120_000);

	for (const door of doors) {
		for (const crowd of crowds) {
			it(`lives, stays within its machine and serves on after ${crowd.title} at ${door.title}`, async () => {
				await onSmallMachine(async gateways => {
					expect([await isReady(), await isServing()]).to.deep.equal([true, true]);
					const pid = gateways.pid(0)!;
					const running = startCrowd(crowd, address, door.port, door.path);
					let peakSockets = 0;
					const watch = async (forMs: number, isOver: () => boolean): Promise<void> => {
						for (const untilMs = performance.now() + forMs; performance.now() < untilMs && !isOver();) {
							peakSockets = Math.max(peakSockets, socketCountOf(pid));
							await delay(sampleMs);
						}
					};

					await watch(maxSendMs, running.isDone);
					await watch(holdMs, () => false);
					running.leave();
					const isServed = await isServing();
					expect([gateways.unexpectedExits(), gateways.startCount(0), gateways.pid(0)]).to.deep.equal([[], 1, pid]);
					expect([isServed, await isReady(), await holdsNothing()]).to.deep.equal([true, true, true]);
					expect(peakMegabytesOf(pid)).to.be.below(machine.memoryMegabytes);
					expect(peakSockets).to.be.at.most(machine.descriptors - machine.fileDescriptors);
				});
			});
		}
	}
});
