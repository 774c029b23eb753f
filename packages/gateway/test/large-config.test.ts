import {expect} from 'chai';
import {createLargeConfig} from './support/large-config.ts';
import {createLinkedFleet} from './support/linked-fleet.ts';

/** Time within which a change has to be in force on every gateway. */
const applyMs = 2500;
const fleetSize = 126;
const burstIntervalMs = 333;
const burstVersions = 12;

/** Creates a fleet in which a small configuration is in force. */
const startFleet = (seed: number, bytesPerMs?: number) => {
	const fleet = createLinkedFleet(fleetSize, seed, bytesPerMs);
	const first = {...createLargeConfig(1), routes: []};
	for (const id of ['g-0', 'g-1']) {
		fleet.read(id, {config: first, entries: [], instancesAsOf: 1});
	}

	fleet.run(3000);
	fleet.resetCounts();
	return fleet;
};

const countBehind = (fleet: ReturnType<typeof createLinkedFleet>, version: number): number =>
	[...fleet.hosts.values()].filter(({catalogue}) => catalogue.digest().configVersion < version).length;

const copiesPerGateway = (fleet: ReturnType<typeof createLinkedFleet>): number =>
	[...fleet.hosts.values()].reduce((sum, {configCopies}) => sum + configCopies, 0) / fleetSize;

const sentBytes = (fleet: ReturnType<typeof createLinkedFleet>): number =>
	[...fleet.hosts.values()].reduce((sum, host) => sum + host.sentBytes, 0);

describe('a configuration of 1,440 routes at 126 gateways with links of 10 Mbit/s', () => {
	for (const seed of [1, 2, 3]) {
		it(`is in force everywhere within 2,500 ms of its read (seed ${seed})`, function () {
			this.timeout(60_000);
			const fleet = startFleet(seed);
			const config = createLargeConfig(2);
			const startMs = fleet.nowMs();
			for (const id of ['g-0', 'g-1']) {
				fleet.read(id, {config});
			}

			fleet.run(applyMs, () => countBehind(fleet, 2) === 0);
			const details = `${countBehind(fleet, 2)} behind after ${fleet.nowMs() - startMs} ms, ${copiesPerGateway(fleet).toFixed(2)} copies for each, ${sentBytes(fleet)} bytes`;

			expect(countBehind(fleet, 2), details).to.equal(0);
		});
	}

	const bursts: ReadonlyArray<{readonly title: string; readonly seed: number; readonly bytesPerMs?: number; readonly isElected: boolean}> = [
		{title: 'is in force everywhere within 2,500 ms when twelve versions follow each other in 4 s', seed: 4, isElected: false},
		...[4, 5, 6].map(seed => ({
			title: `is in force everywhere within 2,500 ms of each of twelve reads in 4 s by elected readers, at half of the link capacity (seed ${seed})`, seed, bytesPerMs: 625, isElected: true,
		})),
	];
	for (const {title, seed, bytesPerMs, isElected} of bursts) {
		it(title, function () {
			this.timeout(120_000);
			const fleet = startFleet(seed, bytesPerMs);
			const readerIds = isElected ? fleet.electedIds() : ['g-0', 'g-1'];
			expect(readerIds).to.have.length(2);
			const configs = Array.from({length: burstVersions}, (_, index) => createLargeConfig(index + 2));
			const startMs = fleet.nowMs();
			const late: string[] = [];
			let read = 0;
			let checked = 0;
			while (checked < burstVersions) {
				if (read < burstVersions && fleet.nowMs() - startMs >= read * burstIntervalMs) {
					for (const id of readerIds) {
						fleet.read(id, {config: configs[read]!});
					}

					read++;
				}

				if (fleet.nowMs() - startMs >= (checked * burstIntervalMs) + applyMs) {
					const count = countBehind(fleet, checked + 2);
					if (count > 0) {
						late.push(`version ${checked + 2}: ${count} behind`);
					}

					checked++;
				}

				fleet.run(1);
			}

			expect(late, `${copiesPerGateway(fleet).toFixed(2)} copies for each, ${sentBytes(fleet)} bytes`).to.deep.equal([]);
		});
	}
});
