import {expect} from 'chai';
import fc from 'fast-check';
import {
	createCatalogue, createRandom, createReaderElection, createCatalogueSync, hashText,
	type CatalogueSend, type CatalogueSync, type InstanceEntry,
} from '@egretwing/core';
import {
	agree, config, createFleet, entry,
} from './support/catalogue-fleet.ts';

const seedCount = 30;

describe('catalogue synchronisation', () => {
	for (const size of [2, 44, 126]) {
		it(`distributes a change to ${size} gateways within 100 ms`, () => {
			const fleet = createFleet(size);
			fleet.read('g-0', {config: config(1), entries: [entry('i-1', 5)], instancesAsOf: 5});
			fleet.runUntil(2000);
			fleet.read('g-0', {config: config(2), entries: [entry('i-2', 6)], instancesAsOf: 6});
			fleet.runUntil(2100);
			const behind = [...fleet.nodes.values()].filter(({catalogue}) => catalogue.config()?.version !== 2 || catalogue.ready('s').length !== 2);
			expect(behind.length).to.be.at.most(size * 0.03);
			fleet.runUntil(4000);
			expect(agree(fleet.nodes)).to.equal(1);
		});
	}

	it('distributes a change from two readers to 126 gateways within 100 ms with every seed', function () {
		this.timeout(60_000);
		const behind = Array.from({length: seedCount}, (_, seed) => {
			const fleet = createFleet(126, undefined, seed);
			for (const version of [1, 2]) {
				for (const id of ['g-0', 'g-1']) {
					fleet.read(id, {config: config(version), entries: [entry(`i-${version}`, 4 + version)], instancesAsOf: 4 + version});
				}

				fleet.runUntil(version === 1 ? 2000 : 2100);
			}

			return [...fleet.nodes.values()].filter(({catalogue}) => catalogue.config()?.version !== 2 || catalogue.ready('s').length !== 2).length;
		});
		expect(Math.max(...behind), behind.join(' ')).to.be.at.most(126 * 0.03);
	});

	it('sends what a reader has read to each data centre with every seed', () => {
		// Guards against changes that reach the gateways of a data centre late because a reader told none of them.
		const missed = Array.from({length: 300}, (_, seed) => {
			const fleet = createFleet(126, undefined, seed);
			fleet.read('g-0', {entries: [], instancesAsOf: 1});
			fleet.receivers.length = 0;
			fleet.read('g-0', {config: config(2)});
			return 3 - new Set(fleet.receivers.map(id => Number(id.slice(2)) % 3)).size;
		});
		expect(Math.max(...missed)).to.equal(0);
	});

	/** Time within which a change has to be in force (`config_apply_ms`, `drain_ms`), less half a second in which a reader reads it. */
	const distributionMs = 1500;
	const removed: InstanceEntry = {instanceId: 'i-2', revision: 6, record: null};
	for (const [size, title, read] of [
		[44, 'a configuration', {config: config(2)}],
		[126, 'a configuration', {config: config(2)}],
		[44, 'a removal', {entries: [removed], instancesAsOf: 6}],
	] as const) {
		it(`distributes ${title} to the rest of ${size} gateways within ${distributionMs} ms when half of them are lost with every seed`, function () {
			// Guards against single gateways that keep to an old state because the peers that would tell them have just lost power.
			this.timeout(60_000);
			const behind = Array.from({length: seedCount * 4}, (_, seed) => {
				let isHalfLost = false;
				const isLost = (id: string): boolean => isHalfLost && id !== 'g-0' && hashText(`${id}/${seed}`) % 100 < 55;
				const fleet = createFleet(size, (from, {to}) => isLost(from) || isLost(to), seed);
				fleet.read('g-0', {config: config(1), entries: [entry('i-1', 5), entry('i-2', 5)], instancesAsOf: 5});
				fleet.runUntil(6000);
				isHalfLost = true;
				fleet.read('g-0', read);
				fleet.runUntil(6000 + distributionMs);
				const {configVersion, instances} = fleet.nodes.get('g-0')!.catalogue.digest();
				return [...fleet.nodes.values()].filter(({id, catalogue}) => !isLost(id) && (catalogue.digest().configVersion !== configVersion || catalogue.digest().instances !== instances)).length;
			});
			expect(Math.max(...behind), behind.join(' ')).to.equal(0);
		});
	}

	it('sends a configuration about once to each gateway', () => {
		const fleet = createFleet(44);
		fleet.read('g-0', {entries: [], instancesAsOf: 1});
		fleet.runUntil(2000);
		fleet.sent.length = 0;
		fleet.read('g-0', {config: config(3)});
		fleet.runUntil(2300);
		const copies = fleet.sent.filter(message => message.type === 'state' && message.config !== undefined).length;
		expect(copies).to.be.within(43, 60);
	});

	it('exchanges hardly any complete catalogues at 126 gateways while instances change ten times a second', () => {
		const fleet = createFleet(126);
		const entries = Array.from({length: 300}, (_, index) => entry(`i-${index}`, index + 1));
		fleet.read('g-0', {config: config(1), entries, instancesAsOf: 300});
		fleet.runUntil(3000);
		fleet.sent.length = 0;
		for (let change = 0; change < 100; change++) {
			fleet.read('g-0', {entries: [entry(`i-${change}`, 301 + change)], instancesAsOf: 301 + change});
			fleet.runUntil(3000 + ((change + 1) * 100));
		}

		const complete = fleet.sent.filter(message => message.type === 'state' && message.entries !== undefined).length;
		// One catalogue of 60 KB in twenty seconds is 3 KB/s, a seventh of a gateway's allowance for control traffic.
		expect(complete).to.be.below(126 / 2);
		fleet.runUntil(15_000);
		expect(agree(fleet.nodes)).to.equal(1);
	});

	it('sends a gateway that missed changes only these', () => {
		let isCut = false;
		const fleet = createFleet(6, (_from, {to}) => isCut && to === 'g-5');
		fleet.read('g-0', {config: config(1), entries: [entry('i-1', 1), entry('i-2', 2)], instancesAsOf: 2});
		fleet.runUntil(2000);
		isCut = true;
		fleet.read('g-0', {entries: [entry('i-1', 3)], instancesAsOf: 3});
		fleet.runUntil(2500);
		isCut = false;
		fleet.sent.length = 0;
		fleet.runUntil(4000);
		expect(agree(fleet.nodes)).to.equal(1);
		expect(fleet.sent.filter(({type}) => type === 'state')).to.deep.equal([]);
	});

	it('converges although a third of the messages is lost', () => {
		const random = createRandom(9);
		const fleet = createFleet(20, () => random.next() < 0.33);
		fleet.read('g-3', {config: config(4), entries: [entry('i-1', 5), entry('i-2', 6)], instancesAsOf: 6});
		fleet.runUntil(12_000);
		expect(agree(fleet.nodes)).to.equal(1);
	});

	it('asks the next peer when the one that announced a configuration is unresponsive', () => {
		const fleet = createFleet(6, (from, {message}) => from === 'g-0' && message.type === 'state');
		fleet.read('g-0', {config: config(1), entries: [entry('i-1', 2)], instancesAsOf: 2});
		fleet.read('g-1', {config: config(1), entries: [entry('i-1', 2)], instancesAsOf: 2});
		fleet.runUntil(3000);
		expect([...fleet.nodes.values()].map(({catalogue}) => catalogue.config()?.version)).to.deep.equal([1, 1, 1, 1, 1, 1]);
	});

	it('sends the newest configuration within a second after a partition to a gateway that started beside an outdated peer', () => {
		let phase: 'before start' | 'cut' | 'healed' = 'before start';
		const isBehind = (id: string): boolean => id === 'g-4' || id === 'g-5';
		const fleet = createFleet(6, (from, {to}) => (phase === 'cut' && isBehind(from) !== isBehind(to)) || (phase === 'before start' && (from === 'g-4' || to === 'g-4')));
		fleet.read('g-0', {config: config(1), entries: [], instancesAsOf: 1});
		fleet.runUntil(2000);
		phase = 'cut';
		fleet.read('g-0', {config: config(2)});
		fleet.runUntil(4000);
		const started = fleet.nodes.get('g-4')!.catalogue;
		expect([started.isComplete(), started.digest().configVersion]).to.deep.equal([true, 1]);
		phase = 'healed';
		fleet.runUntil(5000);
		expect(started.digest().configVersion).to.equal(2);
	});

	it('sends all instances exactly once to each of 44 gateways that start', () => {
		const fleet = createFleet(44);
		const entries = Array.from({length: 300}, (_, index) => entry(`i-${index}`, index + 1));
		for (const id of ['g-0', 'g-1']) {
			fleet.read(id, {config: config(1), entries, instancesAsOf: 300});
		}

		fleet.runUntil(1000);
		const carriers = fleet.sent.filter(message => (message.type === 'state' || message.type === 'news') && (message.entries?.length ?? 0) > 0);
		expect(carriers).to.have.length(42);
		expect([...fleet.nodes.values()].filter(({catalogue}) => !catalogue.isComplete())).to.deep.equal([]);
	});

	it('asks one peer at a time for the instances, the next one when it is unresponsive', () => {
		const catalogue = createCatalogue();
		const ids = ['g-1', 'g-2', 'g-3'];
		const sync = createCatalogueSync({
			selfId: 'g-0', catalogue, random: createRandom(1), peerIds: () => ids, localPeerIds: () => ids, dataCentreOf: () => 'a', isReceivingFrom: () => false, onChange: () => undefined,
		});
		const digest = {configVersion: 0, instances: 7, instancesAsOf: 7};
		const asked = (sends: readonly CatalogueSend[]): readonly string[] => sends.filter(({message}) => message.type === 'pull').map(({to}) => to);

		expect(ids.flatMap(id => asked(sync.receive(id, {type: 'compare', digest}, 0)))).to.deep.equal(['g-1']);
		expect(asked(sync.tick(200))).to.deep.equal([]);
		expect(asked(sync.tick(300))).to.deep.equal(['g-2']);
		expect(sync.takeUnresponsivePeers()).to.deep.equal(['g-1']);
		sync.receive('g-2', {type: 'state', entries: [entry('i-1', 7)], instancesAsOf: 7}, 350);
		expect(asked(sync.tick(600))).to.deep.equal([]);
		expect(sync.takeUnresponsivePeers()).to.deep.equal([]);
	});

	for (const takesPacked of [undefined, true]) {
		it(`sends ${takesPacked ? 'packed instances to a gateway that can read them' : 'plain instances to a gateway of the previous version'}`, () => {
			const fleet = createFleet(2);
			fleet.read('g-0', {entries: [entry('i-1', 7)], instancesAsOf: 7});
			const [answer] = fleet.nodes.get('g-0')!.sync.receive('g-1', {
				type: 'pull', configVersion: 0, wantsInstances: true, ...(takesPacked && {takesPacked}),
			}, 0);
			expect(answer!.message).to.deep.equal({
				type: 'state', instancesAsOf: 7, entries: [entry('i-1', 7)], ...(takesPacked && {isPacked: true}),
			});
		});
	}

	it('asks a peer in an unknown state for changes since all instances were known, also soon after a start', () => {
		const catalogue = createCatalogue();
		const ids = ['g-1', 'g-2'];
		const sync = createCatalogueSync({
			selfId: 'g-0', catalogue, random: createRandom(1), peerIds: () => ids, localPeerIds: () => ids, dataCentreOf: () => 'a', isReceivingFrom: () => false, onChange: () => undefined,
		});
		sync.tick(0);
		sync.receive('g-1', {type: 'state', entries: [entry('i-1', 7)], instancesAsOf: 7}, 100);
		sync.receive('g-2', {type: 'compare', digest: {configVersion: 0, instances: 1, instancesAsOf: 8}}, 200);
		const pulls = [300, 400, 500].flatMap(nowMs => sync.tick(nowMs)).map(({message}) => message).filter(({type}) => type === 'pull');
		expect(pulls).to.deep.equal([{
			type: 'pull', configVersion: Number.MAX_SAFE_INTEGER, wantsInstances: false, afterRevision: 7,
		}]);
	});

	it('does not pull the instances from a gateway that does not know all of them', () => {
		const fleet = createFleet(2);
		fleet.read('g-0', {config: config(1)});
		fleet.runUntil(1000);
		expect(fleet.sent.filter(message => message.type === 'pull' && message.wantsInstances)).to.deep.equal([]);
	});

	it('does not regard a catalogue as complete after changes alone', () => {
		const fleet = createFleet(2);
		fleet.read('g-0', {config: config(1)});
		fleet.runUntil(1000);
		expect(fleet.nodes.get('g-1')!.catalogue.isComplete()).to.equal(false);
	});
});

describe('store readers', () => {
	const members = ['a', 'a', 'b', 'b', 'c'].map((dataCentre, index) => ({hostId: `g-${index}`, dataCentre}));
	const readersAt = (nowMs: number, prepare: (election: ReturnType<typeof createReaderElection>) => void = () => undefined): readonly string[] => {
		const election = createReaderElection(0);
		prepare(election);
		return members.map(({hostId}) => hostId).filter(id => election.isReader(id, members, nowMs));
	};

	it('are two in different data centres', () => {
		const readers = readersAt(1000);
		expect(readers).to.have.length(2);
		expect(new Set(readers.map(id => members.find(({hostId}) => hostId === id)!.dataCentre)).size).to.equal(2);
	});

	const capacityCases: ReadonlyArray<{readonly title: string; readonly capacities: ReadonlyArray<number | undefined>; readonly expected: readonly string[]}> = [
		{title: 'are the members with high capacity when two data centres have one', capacities: [0.27, 1, 0.27, 2, 0.27], expected: ['g-1', 'g-3']},
		{title: 'are members with high capacity of different data centres when one data centre has several', capacities: [2, 2, 0.27, 0.27, 2], expected: ['g-4']},
		{title: 'include members without a reported capacity, which count as one core', capacities: [0.27, 0.27, undefined, 0.27, undefined], expected: ['g-2', 'g-4']},
	];
	for (const {title, capacities, expected} of capacityCases) {
		it(title, () => {
			const rated = members.map((member, index) => ({...member, capacity: capacities[index]}));
			const readers = members.map(({hostId}) => hostId).filter(id => createReaderElection(0).isReader(id, rated, 1000));
			expect(readers).to.have.length(2).and.include.members([...expected]);
			expect(readers.every(id => rated.find(({hostId}) => hostId === id)!.capacity !== 0.27)).to.equal(true);
		});
	}

	it('are in different data centres although only one has members with high capacity', () => {
		const rated = members.map((member, index) => ({...member, capacity: index < 2 ? 2 : 0.27}));
		const readers = rated.filter(({hostId}) => createReaderElection(0).isReader(hostId, rated, 1000));
		expect(readers.map(({dataCentre, capacity}) => [dataCentre === 'a', capacity])).to.deep.equal([[true, 2], [false, 0.27]]);
	});

	it('are not elected before members had time to discover each other', () => {
		expect(readersAt(100)).to.deep.equal([]);
	});

	const awaitedCases: ReadonlyArray<{readonly title: string; readonly isUnreachable: boolean; readonly expected: boolean}> = [
		{title: 'immediately include a member at which requests wait for the catalogue', isUnreachable: false, expected: true},
		{title: 'do not include such a member once the store has rejected it', isUnreachable: true, expected: false},
	];
	for (const {title, isUnreachable, expected} of awaitedCases) {
		it(title, () => {
			const election = createReaderElection(0);
			if (isUnreachable) {
				election.markUnreachable('g-0', 50);
			}

			expect(election.isReader('g-0', members, 100, true)).to.equal(expected);
		});
	}

	it('are replaced while the store does not answer them, and elected again later', () => {
		const [first = ''] = readersAt(1000);
		const withFailure = (nowMs: number): readonly string[] => readersAt(nowMs, election => {
			election.markUnreachable(first, 1000);
		});
		expect(withFailure(1500)).to.have.length(2).and.not.include(first);
		expect(withFailure(5000)).to.include(first);
	});

	const drainingCases: ReadonlyArray<{readonly title: string; readonly draining: (readers: readonly string[], others: readonly string[]) => readonly string[]; readonly successors: number}> = [
		{title: 'one reader shuts down', draining: ([first = '']) => [first], successors: 1},
		{title: 'both readers shut down', draining: readers => readers, successors: 2},
		{title: 'a member that does not read shuts down', draining: (_readers, [first = '']) => [first], successors: 0},
		{title: 'all members shut down', draining: (readers, others) => [...readers, ...others], successors: 0},
	];
	for (const {title, draining, successors} of drainingCases) {
		it(`keep reading until they leave, while the others elect their successors: ${title}`, () => {
			const before = readersAt(1000);
			const drainingIds = draining(before, members.map(({hostId}) => hostId).filter(id => !before.includes(id)));
			const views = members.map(member => ({...member, isDraining: drainingIds.includes(member.hostId)}));
			const readers = members.map(({hostId}) => hostId).filter(id => createReaderElection(0).isReader(id, views, 1000));
			expect(readers).to.include.members([...before]);
			expect(readers).to.have.length(before.length + successors);
		});

		it(`are elected in the same way by members that have not heard of it yet: ${title}`, () => {
			const before = readersAt(1000);
			const drainingIds = draining(before, members.map(({hostId}) => hostId).filter(id => !before.includes(id)));
			const ownView = (selfId: string) => members.map(member => ({...member, isDraining: member.hostId === selfId && drainingIds.includes(selfId)}));
			expect(members.map(({hostId}) => hostId).filter(id => createReaderElection(0).isReader(id, ownView(id), 1000))).to.deep.equal(before);
		});
	}

	it('are the same, in any order of events, as those of an election that has ranked the members anew', () => {
		const event = fc.record({
			elapsedMs: fc.integer({min: 0, max: 3000}), member: fc.integer({min: 0, max: members.length - 1}), type: fc.constantFrom('reachable', 'unreachable', 'draining', 'back'),
		});
		fc.assert(fc.property(fc.array(event, {maxLength: 20}), events => {
			const elections = members.map(({hostId}) => ({hostId, election: createReaderElection(0)}));
			const marks = new Map<string, number>();
			let views: ReadonlyArray<typeof members[number] & {readonly isDraining?: boolean}> = members;
			let nowMs = 1000;
			for (const {elapsedMs, member, type} of events) {
				nowMs += elapsedMs;
				const {hostId} = members[member]!;
				if (type === 'reachable') {
					for (const {election} of elections) {
						election.markReachable(hostId);
					}

					marks.delete(hostId);
				} else if (type === 'unreachable') {
					for (const {election} of elections) {
						election.markUnreachable(hostId, nowMs);
					}

					marks.set(hostId, nowMs);
				} else {
					views = views.map(view => view.hostId === hostId ? {...view, isDraining: type === 'draining'} : view);
				}

				const anew = createReaderElection(0);
				for (const [id, atMs] of marks) {
					anew.markUnreachable(id, atMs);
				}

				for (const {hostId: id, election} of elections) {
					expect(election.isReader(id, views, nowMs)).to.equal(anew.isReader(id, views, nowMs));
				}
			}
		}), {seed: 4});
	});

	it('keep trying when the store answers no member', () => {
		expect(readersAt(1500, election => {
			for (const {hostId} of members) {
				election.markUnreachable(hostId, 1000);
			}
		})).to.have.length(2);
	});
});

describe('store readers after a common start', () => {
	/** Time for which requests wait at a process that has just started. */
	const startWaitMs = 1000;
	const stepMs = 50;
	const members = ['a', 'b', 'a', 'b'].map((dataCentre, index) => ({hostId: `g-${index}`, dataCentre}));
	/** When the store rejected a member, and whether the others know: a member rejected early has not discovered them yet. */
	const rejections: ReadonlyMap<string, {readonly atMs: number; readonly isReported: boolean}> = new Map([
		['g-0', {atMs: 700, isReported: true}],
		['g-1', {atMs: 700, isReported: true}],
		['g-2', {atMs: 100, isReported: false}],
		['g-3', {atMs: 100, isReported: false}],
	]);

	it('are elected within the time that requests wait, although the store rejected each member, some before they knew the others', () => {
		const elections = new Map(members.map(({hostId}) => [hostId, createReaderElection(0)]));
		for (const [hostId, {atMs, isReported}] of rejections) {
			for (const [otherId, election] of elections) {
				if (isReported || otherId === hostId) {
					election.markUnreachable(hostId, atMs);
				}
			}
		}

		const isAnyReading = (nowMs: number): boolean => [...elections].some(([hostId, election]) => election.isReader(hostId, members, nowMs, true));
		const storeBackMs = 1000;
		let waitMs = 0;
		while (!isAnyReading(storeBackMs + waitMs)) {
			waitMs += stepMs;
		}

		expect(waitMs).to.be.at.most(startWaitMs);
	});
});

describe('pull from a peer', () => {
	const digest = (configVersion: number, instancesAsOf: number) => ({configVersion, instances: 7, instancesAsOf});
	const cases: ReadonlyArray<readonly [title: string, prepare: (sync: CatalogueSync) => void]> = [
		['it sent its configuration, although a newer one was announced before', sync => {
			sync.receive('g-1', {type: 'state', entries: [], instancesAsOf: 7}, 0);
			sync.receive('g-1', {type: 'compare', digest: digest(9, 7)}, 0);
			sync.tick(300);
			sync.takeUnresponsivePeers();
			sync.receive('g-2', {type: 'compare', digest: digest(5, 7)}, 400);
			sync.receive('g-2', {type: 'state', config: config(5), instancesAsOf: -1}, 450);
		}],
		['all instances were read from the store meanwhile', sync => {
			sync.receive('g-1', {type: 'compare', digest: digest(0, 7)}, 500);
			sync.applyStoreRead({entries: [], instancesAsOf: 7}, 600);
		}],
		['it answered that it does not know all instances', sync => {
			sync.receive('g-1', {type: 'compare', digest: digest(0, 7)}, 500);
			sync.receive('g-1', {type: 'state', entries: [], instancesAsOf: -1}, 550);
		}],
	];
	for (const [title, prepare] of cases) {
		it(`does not count it as unresponsive when ${title}`, () => {
			const ids = ['g-1', 'g-2', 'g-3'];
			const sync = createCatalogueSync({
				selfId: 'g-0', catalogue: createCatalogue(), random: createRandom(1), peerIds: () => ids, localPeerIds: () => ids, dataCentreOf: () => 'a', isReceivingFrom: () => false, onChange: () => undefined,
			});
			prepare(sync);
			sync.tick(850);
			expect(sync.takeUnresponsivePeers()).to.deep.equal([]);
		});
	}
});
