import {expect} from 'chai';
import {
	createCatalogue, createRandom, createReaderElection, createCatalogueSync, type Catalogue, type FleetConfig, type InstanceEntry, type CatalogueSync, type CatalogueMessage, type CatalogueSend,
} from '@egretwing/core';

const delayMs = 2;
const drawCount = 30;

const config = (version: number): FleetConfig => ({
	version,
	routes: [],
	services: [],
	limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
});

const entry = (instanceId: string, revision: number): InstanceEntry => ({
	instanceId,
	revision,
	record: {
		service: 's', address: '10.0.0.1', port: 80, dataCentre: 'a', slots: 1, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
	},
});

type Node = {readonly id: string; readonly catalogue: Catalogue; readonly spread: CatalogueSync};

/** Gateways on a network that loses what `isLost` names. */
const createFleet = (size: number, isLost: (from: string, send: CatalogueSend) => boolean = () => false, seed = 0) => {
	const ids = Array.from({length: size}, (_, index) => `g-${index}`);
	const flight: Array<{readonly atMs: number; readonly from: string; readonly to: string; readonly message: CatalogueMessage}> = [];
	const sent: CatalogueMessage[] = [];
	let nowMs = 0;
	const nodes = new Map<string, Node>(ids.map((id, index) => {
		const catalogue = createCatalogue();
		const spread = createCatalogueSync({
			selfId: id,
			catalogue,
			random: createRandom((seed * 1000) + index + 1),
			peerIds: () => ids.filter(other => other !== id),
			localPeerIds: () => ids.filter((other, place) => other !== id && place % 3 === index % 3),
			isReceivingFrom: () => false,
			onChange: () => undefined,
		});
		return [id, {id, catalogue, spread}];
	}));

	const post = (from: string, sends: readonly CatalogueSend[]): void => {
		for (const send of sends) {
			sent.push(send.message);
			if (!isLost(from, send)) {
				flight.push({
					atMs: nowMs + delayMs, from, to: send.to, message: send.message,
				});
			}
		}
	};

	const runUntil = (endMs: number): void => {
		for (; nowMs < endMs; nowMs++) {
			for (const each of flight.splice(0)) {
				if (each.atMs > nowMs) {
					flight.push(each);
				} else {
					post(each.to, nodes.get(each.to)!.spread.receive(each.from, each.message, nowMs));
				}
			}

			if (nowMs % 100 === 0) {
				for (const {id, spread} of nodes.values()) {
					post(id, spread.tick(nowMs));
				}
			}
		}
	};

	const read = (id: string, news: Parameters<CatalogueSync['applyStoreRead']>[0]): void => {
		post(id, nodes.get(id)!.spread.applyStoreRead(news, nowMs));
	};

	return {
		nodes, sent, runUntil, read,
	};
};

const agree = (nodes: ReadonlyMap<string, Node>): number => new Set(Array.from(nodes.values(), ({catalogue}) => JSON.stringify(catalogue.digest()))).size;

describe('spread of the catalogue', () => {
	for (const size of [2, 44, 126]) {
		it(`brings a change to ${size} gateways within 100 ms`, () => {
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

	it('brings a change to 126 gateways within 100 ms whatever is drawn, with two readers', function () {
		this.timeout(60_000);
		const behind = Array.from({length: drawCount}, (_, seed) => {
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

	it('exchanges hardly any whole catalogues while instances change ten times a second, at 126 gateways', () => {
		const fleet = createFleet(126);
		const entries = Array.from({length: 300}, (_, index) => entry(`i-${index}`, index + 1));
		fleet.read('g-0', {config: config(1), entries, instancesAsOf: 300});
		fleet.runUntil(3000);
		fleet.sent.length = 0;
		for (let change = 0; change < 100; change++) {
			fleet.read('g-0', {entries: [entry(`i-${change}`, 301 + change)], instancesAsOf: 301 + change});
			fleet.runUntil(3000 + ((change + 1) * 100));
		}

		const wholes = fleet.sent.filter(message => message.type === 'state' && message.entries !== undefined).length;
		// One of 60 KB in twenty seconds is 3 KB/s, a seventh of what a gateway may spend for control.
		expect(wholes).to.be.below(126 / 2);
		fleet.runUntil(15_000);
		expect(agree(fleet.nodes)).to.equal(1);
	});

	it('sends a gateway that missed changes just these', () => {
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

	it('agrees in the end although a third of the messages is lost', () => {
		const random = createRandom(9);
		const fleet = createFleet(20, () => random.next() < 0.33);
		fleet.read('g-3', {config: config(4), entries: [entry('i-1', 5), entry('i-2', 6)], instancesAsOf: 6});
		fleet.runUntil(12_000);
		expect(agree(fleet.nodes)).to.equal(1);
	});

	it('asks the next source when the one that announced a configuration is silent', () => {
		const fleet = createFleet(6, (from, {message}) => from === 'g-0' && message.type === 'state');
		fleet.read('g-0', {config: config(1), entries: [entry('i-1', 2)], instancesAsOf: 2});
		fleet.read('g-1', {config: config(1), entries: [entry('i-1', 2)], instancesAsOf: 2});
		fleet.runUntil(3000);
		expect([...fleet.nodes.values()].map(({catalogue}) => catalogue.config()?.version)).to.deep.equal([1, 1, 1, 1, 1, 1]);
	});

	it('brings the newest configuration within a second to a gateway that started beside one that is behind', () => {
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

	it('sends all instances once to each of 44 gateways that start, and changes alone as news', () => {
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

	it('asks one peer at a time for the instances, the next when it is silent', () => {
		const catalogue = createCatalogue();
		const ids = ['g-1', 'g-2', 'g-3'];
		const spread = createCatalogueSync({
			selfId: 'g-0', catalogue, random: createRandom(1), peerIds: () => ids, localPeerIds: () => ids, isReceivingFrom: () => false, onChange: () => undefined,
		});
		const digest = {configVersion: 0, instances: 7, instancesAsOf: 7};
		const asked = (sends: readonly CatalogueSend[]): readonly string[] => sends.filter(({message}) => message.type === 'pull').map(({to}) => to);

		expect(ids.flatMap(id => asked(spread.receive(id, {type: 'compare', digest}, 0)))).to.deep.equal(['g-1']);
		expect(asked(spread.tick(200))).to.deep.equal([]);
		expect(asked(spread.tick(300))).to.deep.equal(['g-2']);
		expect(spread.takeUnresponsivePeers()).to.deep.equal(['g-1']);
		spread.receive('g-2', {type: 'state', entries: [entry('i-1', 7)], instancesAsOf: 7}, 350);
		expect(asked(spread.tick(600))).to.deep.equal([]);
		expect(spread.takeUnresponsivePeers()).to.deep.equal([]);
	});

	for (const takesPacked of [undefined, true]) {
		it(`answers ${takesPacked ? 'a gateway that reads packed instances with these' : 'one of the previous version with plain instances'}`, () => {
			const fleet = createFleet(2);
			fleet.read('g-0', {entries: [entry('i-1', 7)], instancesAsOf: 7});
			const [answer] = fleet.nodes.get('g-0')!.spread.receive('g-1', {
				type: 'pull', configVersion: 0, wantsInstances: true, ...(takesPacked && {takesPacked}),
			}, 0);
			expect(answer!.message).to.deep.equal({
				type: 'state', instancesAsOf: 7, entries: [entry('i-1', 7)], ...(takesPacked && {isPacked: true}),
			});
		});
	}

	it('asks a peer in an unknown state for changes since all instances were known, soon after a start as well', () => {
		const catalogue = createCatalogue();
		const ids = ['g-1', 'g-2'];
		const spread = createCatalogueSync({
			selfId: 'g-0', catalogue, random: createRandom(1), peerIds: () => ids, localPeerIds: () => ids, isReceivingFrom: () => false, onChange: () => undefined,
		});
		spread.tick(0);
		spread.receive('g-1', {type: 'state', entries: [entry('i-1', 7)], instancesAsOf: 7}, 100);
		spread.receive('g-2', {type: 'compare', digest: {configVersion: 0, instances: 1, instancesAsOf: 8}}, 200);
		const pulls = [300, 400, 500].flatMap(nowMs => spread.tick(nowMs)).map(({message}) => message).filter(({type}) => type === 'pull');
		expect(pulls).to.deep.equal([{
			type: 'pull', configVersion: Number.MAX_SAFE_INTEGER, wantsInstances: false, afterRevision: 7,
		}]);
	});

	it('asks nobody for the instances who does not know all of them', () => {
		const fleet = createFleet(2);
		fleet.read('g-0', {config: config(1)});
		fleet.runUntil(1000);
		expect(fleet.sent.filter(message => message.type === 'pull' && message.wantsInstances)).to.deep.equal([]);
	});

	it('does not take a catalogue for whole by changes alone', () => {
		const fleet = createFleet(2);
		fleet.read('g-0', {config: config(1)});
		fleet.runUntil(1000);
		expect(fleet.nodes.get('g-1')!.catalogue.isComplete()).to.equal(false);
	});
});

describe('readers of the store', () => {
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

	const strengths: ReadonlyArray<{readonly title: string; readonly capacities: ReadonlyArray<number | undefined>; readonly expected: readonly string[]}> = [
		{title: 'are the strong ones where two data centres have one', capacities: [0.27, 1, 0.27, 2, 0.27], expected: ['g-1', 'g-3']},
		{title: 'are strong ones of different data centres where one has more', capacities: [2, 2, 0.27, 0.27, 2], expected: ['g-4']},
		{title: 'take a member that does not say for as strong as one core', capacities: [0.27, 0.27, undefined, 0.27, undefined], expected: ['g-2', 'g-4']},
	];
	for (const {title, capacities, expected} of strengths) {
		it(title, () => {
			const rated = members.map((member, index) => ({...member, capacity: capacities[index]}));
			const readers = members.map(({hostId}) => hostId).filter(id => createReaderElection(0).isReader(id, rated, 1000));
			expect(readers).to.have.length(2).and.include.members([...expected]);
			expect(readers.every(id => rated.find(({hostId}) => hostId === id)!.capacity !== 0.27)).to.equal(true);
		});
	}

	it('are in different data centres although only one has strong members', () => {
		const rated = members.map((member, index) => ({...member, capacity: index < 2 ? 2 : 0.27}));
		const readers = rated.filter(({hostId}) => createReaderElection(0).isReader(hostId, rated, 1000));
		expect(readers.map(({dataCentre, capacity}) => [dataCentre === 'a', capacity])).to.deep.equal([[true, 2], [false, 0.27]]);
	});

	it('are none before members had time to find each other', () => {
		expect(readersAt(100)).to.deep.equal([]);
	});

	const awaitedCases: ReadonlyArray<{readonly title: string; readonly isUnreachable: boolean; readonly expected: boolean}> = [
		{title: 'include at once a member at which requests wait for the catalogue', isUnreachable: false, expected: true},
		{title: 'do not include such a member once the store has turned it away', isUnreachable: true, expected: false},
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

	it('are replaced while the store does not answer them, and come back later', () => {
		const [first = ''] = readersAt(1000);
		const withFailure = (nowMs: number): readonly string[] => readersAt(nowMs, election => {
			election.markUnreachable(first, 1000);
		});
		expect(withFailure(1500)).to.have.length(2).and.not.include(first);
		expect(withFailure(5000)).to.include(first);
	});

	it('go on trying when the store answers nobody', () => {
		expect(readersAt(1500, election => {
			for (const {hostId} of members) {
				election.markUnreachable(hostId, 1000);
			}
		})).to.have.length(2);
	});
});

describe('readers of the store after a common start', () => {
	/** Requests wait that long for a process that has just started. */
	const startWaitMs = 1000;
	const stepMs = 50;
	const members = ['a', 'b', 'a', 'b'].map((dataCentre, index) => ({hostId: `g-${index}`, dataCentre}));
	/** When the store turned a member away, and whether the others hear it: the first ones know nobody yet. */
	const turnedAway: ReadonlyMap<string, {readonly atMs: number; readonly isHeard: boolean}> = new Map([
		['g-0', {atMs: 700, isHeard: true}],
		['g-1', {atMs: 700, isHeard: true}],
		['g-2', {atMs: 100, isHeard: false}],
		['g-3', {atMs: 100, isHeard: false}],
	]);

	it('are found within the time that requests wait, though the store turned each member away before some knew each other', () => {
		const elections = new Map(members.map(({hostId}) => [hostId, createReaderElection(0)]));
		for (const [hostId, {atMs, isHeard}] of turnedAway) {
			for (const [otherId, election] of elections) {
				if (isHeard || otherId === hostId) {
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

describe('question to a peer', () => {
	const digest = (configVersion: number, instancesAsOf: number) => ({configVersion, instances: 7, instancesAsOf});
	const cases: ReadonlyArray<readonly [title: string, learn: (spread: CatalogueSync) => void]> = [
		['it sent the configuration that it has, though a newer one was announced once', spread => {
			spread.receive('g-1', {type: 'state', entries: [], instancesAsOf: 7}, 0);
			spread.receive('g-1', {type: 'compare', digest: digest(9, 7)}, 0);
			spread.tick(300);
			spread.takeUnresponsivePeers();
			spread.receive('g-2', {type: 'compare', digest: digest(5, 7)}, 400);
			spread.receive('g-2', {type: 'state', config: config(5), instancesAsOf: -1}, 450);
		}],
		['the store told all instances meanwhile', spread => {
			spread.receive('g-1', {type: 'compare', digest: digest(0, 7)}, 500);
			spread.applyStoreRead({entries: [], instancesAsOf: 7}, 600);
		}],
		['it said that it does not know all instances', spread => {
			spread.receive('g-1', {type: 'compare', digest: digest(0, 7)}, 500);
			spread.receive('g-1', {type: 'state', entries: [], instancesAsOf: -1}, 550);
		}],
	];
	for (const [title, learn] of cases) {
		it(`does not count it as silent where ${title}`, () => {
			const ids = ['g-1', 'g-2', 'g-3'];
			const spread = createCatalogueSync({
				selfId: 'g-0', catalogue: createCatalogue(), random: createRandom(1), peerIds: () => ids, localPeerIds: () => ids, isReceivingFrom: () => false, onChange: () => undefined,
			});
			learn(spread);
			spread.tick(850);
			expect(spread.takeUnresponsivePeers()).to.deep.equal([]);
		});
	}
});
