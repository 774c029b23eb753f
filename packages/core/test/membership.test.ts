import {expect} from 'chai';
import {createNaiveFleet} from '../src/naive/membership.ts';
import {createRandom} from '../src/random.ts';
import {createHost, createMemberFleet, type FleetOptions} from './support/member-fleet.ts';

/** Maximum time from a loss until no agent names the host. */
const unnamedTargetMs = 3000;
const seeds = [71, 72, 73, 74, 75];

const startFleet = (options: FleetOptions) => {
	const fleet = createMemberFleet(options);
	fleet.run(5000);
	return fleet;
};

const expectAllNamed = (fleet: ReturnType<typeof startFleet>, count: number) => {
	for (const agent of fleet.running()) {
		expect(fleet.usableHosts(agent).size, agent.host.hostId).to.equal(count);
	}
};

/** Running hosts that some running agent does not name. */
const missingHosts = (fleet: ReturnType<typeof startFleet>): Set<string> => {
	const hostIds = fleet.running().map(({host}) => host.hostId);
	const missing = new Set<string>();
	for (const agent of fleet.running()) {
		const usable = fleet.usableHosts(agent);
		for (const hostId of hostIds.filter(id => !usable.has(id))) {
			missing.add(hostId);
		}
	}

	return missing;
};

describe('membership', function () {
	this.timeout(60_000);

	for (const {count, lossShare} of [{count: 2, lossShare: 0}, {count: 5, lossShare: 0}, {count: 44, lossShare: 0}, {count: 44, lossShare: 0.1}]) {
		it(`discovers all of ${count} hosts from the host list with ${lossShare * 100}% packet loss`, () => {
			expectAllNamed(startFleet({count, seed: 70, lossShare}), count);
		});
	}

	const faults = [
		{
			title: 'killed', apply(fleet: ReturnType<typeof startFleet>) {
				fleet.network.stop('a1');
			},
		},
		{
			title: 'paused', apply(fleet: ReturnType<typeof startFleet>) {
				fleet.network.pause('a1');
			},
		},
		{
			title: 'unable to send', apply(fleet: ReturnType<typeof startFleet>) {
				fleet.isolate('a1', 'out');
			},
		},
		{
			title: 'unable to receive', apply(fleet: ReturnType<typeof startFleet>) {
				fleet.isolate('a1', 'in');
			},
		},
	];
	for (const {title, apply} of faults) {
		for (const {count, lossShare} of [{count: 3, lossShare: 0}, {count: 11, lossShare: 0}, {count: 44, lossShare: 0.05}]) {
			it(`stops naming a host that is ${title} within 3 s (${count} hosts, ${lossShare * 100}% packet loss)`, () => {
				for (const seed of seeds) {
					const fleet = startFleet({count, seed, lossShare});
					fleet.run(seed * 7 % 500);
					apply(fleet);
					const timeMs = fleet.timeUntilUnnamed('e1', unnamedTargetMs, ['e1']);
					expect(timeMs, `seed ${seed}`).to.be.a('number');
				}
			});
		}
	}

	const groups = [
		{title: 'five hosts killed at once', lost: [3, 4, 5, 20, 40]},
		{title: 'a whole data centre', lost: Array.from({length: 15}, (_, index) => index * 3)},
	];
	for (const {title, lost} of groups) {
		it(`stops naming ${title} within 3 s although the host list still contains them`, () => {
			for (const seed of [...seeds, 101, 102, 103, 104, 105, 106]) {
				const fleet = startFleet({count: 44, seed});
				for (const index of lost) {
					fleet.network.stop(`a${index}`);
				}

				fleet.run(unnamedTargetMs);
				const named = lost.filter(index => fleet.countNaming(`e${index}`) > 0);
				expect(named, `seed ${seed}`).to.be.empty;
				expectAllNamed(fleet, 44 - lost.length);
			}
		});
	}

	const partialFaults: ReadonlyArray<{readonly title: string; readonly mayLose: readonly string[]; readonly apply: (fleet: ReturnType<typeof startFleet>) => void}> = [
		{
			title: 'two agents that receive nothing', mayLose: ['e1', 'e2'], apply(fleet) {
				fleet.isolate('a1', 'in');
				fleet.isolate('a2', 'in');
			},
		},
		{
			title: 'an agent that receives nothing', mayLose: ['e1'], apply(fleet: ReturnType<typeof startFleet>) {
				fleet.isolate('a1', 'in');
			},
		},
		{
			title: 'one link cut in one direction', mayLose: [], apply(fleet: ReturnType<typeof startFleet>) {
				fleet.network.cutLink('a1', 'a2');
			},
		},
		{
			title: 'an agent that reaches only three others', mayLose: ['e1'], apply(fleet: ReturnType<typeof startFleet>) {
				for (let index = 4; index < 11; index++) {
					fleet.network.cutLink('a1', `a${index}`);
				}
			},
		},
	];
	for (const {title, mayLose, apply} of partialFaults) {
		it(`keeps naming all other live hosts despite ${title}`, () => {
			for (const seed of seeds) {
				const fleet = startFleet({count: 11, seed});
				apply(fleet);
				fleet.run(20_000, () => {
					const hosts = missingHosts(fleet);
					expect([...hosts].filter(hostId => !mayLose.includes(hostId)), `seed ${seed}`).to.be.empty;
				});
			}
		});
	}

	for (const backlog of ['kept', 'lost'] as const) {
		it(`keeps live hosts, drops one lost meanwhile and names the paused host again after a pause with its backlog ${backlog}`, () => {
			for (const seed of seeds) {
				const fleet = startFleet({count: 11, seed});
				const [pause, resume] = backlog === 'kept' ? [fleet.network.pause, fleet.network.resume] : [fleet.network.stop, fleet.network.start];
				pause('a1');
				fleet.run(2000);
				fleet.network.stop('a2');
				fleet.run(8000);
				resume('a1');
				const resumed = fleet.agents.get('a1')!;
				fleet.run(unnamedTargetMs, () => {
					const usable = fleet.usableHosts(resumed);
					const missing = [...fleet.agents.values()].map(({host}) => host.hostId).filter(hostId => !usable.has(hostId));
					expect(missing.filter(hostId => !['e1', 'e2'].includes(hostId)), `seed ${seed}`).to.be.empty;
					expect(resumed.membership.isTrusted(fleet.nowMs()) && usable.has('e2'), `seed ${seed}`).to.be.false;
				});
				expectAllNamed(fleet, 10);
			}
		});
	}

	it('names a host that took over the address of another, and no longer the other one', () => {
		const fleet = startFleet({count: 11, seed: 77});
		fleet.network.stop('a4');
		fleet.startHost(createHost(4, 'e4-new'));
		fleet.run(unnamedTargetMs);
		expect(fleet.countNaming('e4')).to.equal(0);
		expect(fleet.countNaming('e4-new')).to.equal(11);
	});

	it('names an agent that restarts without its state, with its new entry incarnation', () => {
		const fleet = startFleet({count: 11, seed: 78});
		fleet.network.stop('a4');
		fleet.startHost(createHost(4));
		const incarnation = fleet.nowMs() + 1;
		fleet.run(unnamedTargetMs);
		const seen = fleet.running().map(({membership}) => membership.members().find(({host}) => host.hostId === 'e4'));
		expect(seen.every(member => member?.usable && member.entryIncarnation === incarnation)).to.be.true;
	});

	it('lets an agent that restarts without a host list find the others within 3 s', () => {
		for (const seed of seeds) {
			const fleet = startFleet({count: 5, seed});
			fleet.network.stop('a2');
			fleet.startHost(createHost(2), []);
			fleet.run(unnamedTargetMs);
			expectAllNamed(fleet, 5);
		}
	});

	it('names all live hosts and no others when the host list is stale', () => {
		const fleet = startFleet({count: 11, seed: 79, listed: hosts => [...hosts.slice(0, 9), createHost(50), createHost(51)]});
		fleet.run(10_000);
		expectAllNamed(fleet, 11);
	});

	it('stops naming hosts with a lost or draining entry process or a leaving agent within 1 s', () => {
		const fleet = startFleet({count: 44, seed: 80});
		const agents = [...fleet.agents.values()];
		fleet.apply('a1', agents[1]!.membership.setEntryState('down', 0, fleet.nowMs()));
		fleet.apply('a2', agents[2]!.membership.setEntryState('draining', 1, fleet.nowMs()));
		fleet.apply('a3', agents[3]!.membership.leave(fleet.nowMs()));
		fleet.run(1000);
		expect(['e1', 'e2', 'e3'].map(hostId => fleet.countNaming(hostId))).to.deep.equal([0, 0, 0]);
	});

	it('names only the hosts on the same side of a partition, and all hosts within 10 s of its end', () => {
		const fleet = startFleet({count: 12, seed: 81});
		const side = (address: string) => Number(address.slice(1)) % 2;
		for (const from of fleet.agents.keys()) {
			for (const to of fleet.agents.keys()) {
				if (side(from) !== side(to)) {
					fleet.network.cutLink(from, to);
				}
			}
		}

		fleet.run(2 * unnamedTargetMs);
		expectAllNamed(fleet, 6);
		fleet.run(60_000);
		fleet.network.restoreAllLinks();
		fleet.run(10_000);
		expectAllNamed(fleet, 12);
	});

	it('removes no live host in ten minutes with 5% packet loss, where the naive reference removes more than 100', () => {
		const fleet = startFleet({count: 11, seed: 82, lossShare: 0.05});
		fleet.run(600_000, () => {
			if (fleet.nowMs() % 100 === 0) {
				expect(fleet.running().every(agent => fleet.usableHosts(agent).size === 11)).to.be.true;
			}
		});
		const random = createRandom(82);
		const naive = createNaiveFleet(11, random);
		for (let round = 0; round < 11 * 600 * 2; round++) {
			naive.probe(round % 11, () => random.next() > 0.05 && random.next() > 0.05);
		}

		expect(naive.falseRemovals()).to.be.above(100);
	});

	it('sends at most 10% more messages per agent in a fleet ten times larger', () => {
		const [small, large] = [22, 220].map(count => {
			const fleet = startFleet({count, seed: 83});
			const before = [...fleet.network.sentBy.values()].reduce((sum, sent) => sum + sent, 0);
			fleet.run(10_000);
			return ([...fleet.network.sentBy.values()].reduce((sum, sent) => sum + sent, 0) - before) / count / 10;
		});
		expect(large!).to.be.at.most(small! * 1.1);
	});
});
