import {expect} from 'chai';
import {electionWaitMs, type InstanceEntry} from '@egretwing/core';
import {encodeMessage} from '../src/mesh-message.ts';
import {createInstances} from './support/instances.ts';
import {createLargeConfig} from './support/large-config.ts';
import {createLinkedFleet} from './support/linked-fleet.ts';

const fleetSize = 126;
const instanceCount = 380;
const routeCount = 60;
/** Instances that register between the reads of two readers. */
const registeredBetween = 2;

/** Limit of the time from the first read until the last gateway can serve: two fifths of the time within which a change has to be in force. */
const completeMs = 1000;

/** Each gateway gets its state once; the rest allows for states that are requested twice, and for announcements and comparisons. */
const maxCopies = 3;

/** Time between the reads of two readers, and until the first gets the instances that registered meanwhile. */
const staggerMs = 20;

/** With ten times as many instances, sending them to eight peers takes longer than the timeout of an unresponsive peer. */
const manyInstances = createInstances(10 * instanceCount);

/** With so many instances each is sent once, and all other messages are small in comparison. */
const maxCopiesManyInstances = 1.1;

const large = createLargeConfig(1);
const config = {...large, routes: large.routes.slice(0, routeCount)};
const entries = createInstances(instanceCount);

/** Bytes of the state that a gateway needs, summed over all gateways. */
const neededBytes = (needed: readonly InstanceEntry[]): number => fleetSize * encodeMessage({hostId: 'g-100', address: '10.0.0.1', peerPort: 7000}, {
	type: 'spread',
	message: {
		type: 'state', entries: needed, instancesAsOf: needed.length, isPacked: true,
	},
}).length;

type Fleet = ReturnType<typeof createLinkedFleet>;

const countIncomplete = ({hosts}: Fleet): number => [...hosts.values()].filter(({catalogue}) => !catalogue.isComplete() || catalogue.entries().length < instanceCount).length;

const sentBytes = ({hosts}: Fleet): number => [...hosts.values()].reduce((sum, host) => sum + host.sentBytes, 0);

const readAll = (fleet: Fleet, id: string, count = instanceCount): void => {
	fleet.read(id, {config});
	fleet.read(id, {entries: entries.slice(0, count), instancesAsOf: count});
};

const readAtOnce = (idsOf: (fleet: Fleet) => readonly string[]) => (fleet: Fleet): void => {
	for (const id of idsOf(fleet)) {
		readAll(fleet, id);
	}
};

/** Each reader reads more instances than the one before it; the missing ones then register, and every reader gets them by its watch. */
const whileInstancesRegister = (fleet: Fleet): void => {
	const ids = ['g-0', 'g-1', 'g-3', 'g-4'];
	for (const [index, id] of ids.entries()) {
		readAll(fleet, id, instanceCount - (registeredBetween * (ids.length - index)));
		fleet.run(staggerMs);
	}

	for (const id of ids) {
		fleet.read(id, {entries: entries.slice(-registeredBetween * ids.length), instancesAsOf: instanceCount});
	}
};

describe(`${fleetSize} gateways that start together, with ${manyInstances.length} instances`, () => {
	it(`request no second state while one is arriving: at most ${maxCopiesManyInstances} times the bytes needed are sent`, function () {
		this.timeout(60_000);
		const fleet = createLinkedFleet(fleetSize, 1);
		fleet.run(electionWaitMs);
		for (const id of fleet.electedIds()) {
			fleet.read(id, {config, entries: manyInstances, instancesAsOf: manyInstances.length});
		}

		fleet.run(2 * completeMs, () => countIncomplete(fleet) === 0);
		fleet.run(completeMs);
		const copies = sentBytes(fleet) / neededBytes(manyInstances);
		expect(countIncomplete(fleet)).to.equal(0);
		expect(copies).to.be.below(maxCopiesManyInstances);
	});
});

describe(`${fleetSize} gateways that start together, with links of 10 Mbit/s and ${instanceCount} instances`, () => {
	const starts: ReadonlyArray<{readonly title: string; readonly read: (fleet: Fleet) => void; readonly bytesPerMs?: number}> = [
		{title: 'with the elected readers', read: readAtOnce(fleet => fleet.electedIds())},
		{title: 'with readers behind small links', read: readAtOnce(() => ['g-0', 'g-1'])},
		{title: 'with six readers that have waiting requests', read: readAtOnce(() => ['g-3', 'g-4', 'g-5', 'g-6', 'g-7', 'g-8'])},
		{title: 'with links of 7 Mbit/s', read: readAtOnce(() => ['g-3', 'g-4', 'g-5']), bytesPerMs: 875},
		{title: 'while instances register', read: whileInstancesRegister},
	];
	for (const {title, read, bytesPerMs} of starts) {
		for (const seed of [1, 2, 3]) {
			it(`have configuration and instances within ${completeMs} ms of the first read, for at most ${maxCopies} times the bytes needed, ${title} (seed ${seed})`, function () {
				this.timeout(60_000);
				const fleet = createLinkedFleet(fleetSize, seed, bytesPerMs);
				fleet.run(electionWaitMs);
				const startMs = fleet.nowMs();
				read(fleet);
				fleet.run(2 * completeMs, () => countIncomplete(fleet) === 0);
				const tookMs = fleet.nowMs() - startMs;
				fleet.run(completeMs);
				const copies = sentBytes(fleet) / neededBytes(entries);
				const details = `${countIncomplete(fleet)} incomplete, the last complete after ${tookMs} ms, ${copies.toFixed(2)} times the bytes needed`;
				expect(tookMs, details).to.be.below(completeMs);
				expect(copies, details).to.be.below(maxCopies);
			});
		}
	}
});
