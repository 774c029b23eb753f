import {expect} from 'chai';
import fc from 'fast-check';
import {createConfigStore, type ConfigStore} from '../src/config/store.ts';
import {createRandom} from '../src/random.ts';
import {selectRelays} from '../src/relay/select.ts';
import {createConfigSync, type ConfigSync, type SyncStep} from '../src/relay/sync.ts';
import type {ConfigMessage} from '../src/relay/types.ts';
import {createNetwork} from './support/network.ts';

const stepMs = 20;
const inForceTargetMs = 3000;

type Agent = {readonly id: string; store: ConfigStore; sync: ConfigSync; position: number};
type Feed = {records: unknown[]; down: boolean; reads: number};

type FeedEvent
	= | {readonly type: 'update' | 'invalid' | 'stale'}
		| {readonly type: 'service'; readonly down: boolean}
		| {readonly type: 'restart' | 'pause'; readonly host: string};

const route = (name: string, revision: number) => ({
	kind: 'route', schemaVersion: 2, name, revision, pathPrefix: `/${name}`, service: 'seatledger', semantics: 'idempotent',
});

const createFleet = (count: number, seed: number, lossShare = 0) => {
	const random = createRandom(seed);
	const network = createNetwork<ConfigMessage>(random, {lossShare});
	const feed: Feed = {records: [], down: false, reads: 0};
	let nowMs = 0;
	const candidates = Array.from({length: count}, (_, index) => ({hostId: `e${index}`, dataCentre: `dc-${index % 3}`}));
	const relays = new Set(['dc-0', 'dc-1', 'dc-2'].flatMap(dataCentre => selectRelays(dataCentre, candidates)));

	const createAgent = (id: string): Agent => {
		const store = createConfigStore();
		const peers = () => candidates.map(({hostId}) => hostId).filter(hostId => hostId !== id);
		return {
			id, store, sync: createConfigSync({
				store, random, peers, nowMs,
			}), position: 0,
		};
	};

	const agents = new Map(candidates.map(({hostId}) => [hostId, createAgent(hostId)]));
	const apply = (agent: Agent, step: SyncStep) => {
		for (const {to, message} of step.sends) {
			network.send(agent.id, to, message, nowMs);
		}
	};

	/** Models a long poll, which answers only when there are records after the position; each answer counts as a read. */
	const readFeed = (agent: Agent) => {
		if (!relays.has(agent.id) || feed.down) {
			agent.sync.recordFeedSkipped();
			return;
		}

		if (agent.position < feed.records.length) {
			feed.reads++;
			apply(agent, agent.sync.receiveFeed(feed.records.slice(agent.position), true));
			agent.position = feed.records.length;
		}
	};

	const run = (durationMs: number, check?: () => void) => {
		const endMs = nowMs + durationMs;
		while (nowMs < endMs) {
			nowMs += stepMs;
			network.deliver(nowMs, ({from, to, message}) => {
				const agent = agents.get(to)!;
				apply(agent, agent.sync.receive(from, message));
			});
			for (const agent of agents.values()) {
				if (network.isRunning(agent.id)) {
					readFeed(agent);
					apply(agent, agent.sync.tick(nowMs));
				}
			}

			check?.();
		}
	};

	return {
		agents, feed, relays, network, run, restart: (id: string) => agents.set(id, createAgent(id)), apply,
		revisions: (name: string) => [...agents.values()].map(({store}) => store.get('route', name)?.revision ?? 0),
		readyCount: () => [...agents.values()].filter(({sync}) => sync.isReady()).length,
	};
};

describe('configuration synchronisation', () => {
	for (const {count, lossShare} of [{count: 5, lossShare: 0}, {count: 44, lossShare: 0}, {count: 44, lossShare: 0.3}]) {
		it(`puts a record in force on ${count} agents within 3 s with ${lossShare * 100}% packet loss when the service is down after one relay read it`, () => {
			const fleet = createFleet(count, 61, lossShare);
			fleet.feed.records = [route('a', 1)];
			fleet.run(5000);
			expect(fleet.readyCount()).to.equal(count);
			fleet.feed.down = true;
			const [relay] = fleet.relays;
			const agent = fleet.agents.get(relay!)!;
			fleet.apply(agent, agent.sync.receiveFeed([route('a', 2)], true));
			fleet.run(inForceTargetMs);
			expect(fleet.revisions('a')).to.deep.equal(Array.from({length: count}, () => 2));
		});
	}

	it('reads the service equally often with 150 agents and with 15', () => {
		const reads = [15, 150].map(count => {
			const fleet = createFleet(count, 62);
			for (let revision = 1; revision <= 5; revision++) {
				fleet.feed.records = [...fleet.feed.records, route('a', revision)];
				fleet.run(1000);
			}

			fleet.run(2000);
			expect(new Set(fleet.revisions('a'))).to.deep.equal(new Set([5]));
			return fleet.feed.reads;
		});
		expect(reads[1]).to.equal(reads[0]);
	});

	it('becomes ready from the records of peers on an agent that starts empty while the service is down', () => {
		const fleet = createFleet(11, 63);
		fleet.feed.records = [route('a', 7)];
		fleet.run(4000);
		fleet.feed.down = true;
		fleet.restart('e3');
		expect(fleet.agents.get('e3')!.sync.isReady()).to.be.false;
		fleet.run(3000);
		expect(fleet.agents.get('e3')!.sync.isReady()).to.be.true;
		expect(fleet.revisions('a')[3]).to.equal(7);
	});

	it('takes the newer record of peers before it is ready on a relay that starts empty while the service is stale', () => {
		const fleet = createFleet(11, 68);
		fleet.feed.records = [route('a', 7)];
		fleet.run(4000);
		fleet.feed.records = [route('a', 6)];
		const [relay] = fleet.relays;
		fleet.restart(relay!);
		const revisionsWhileReady = new Set<number | undefined>();
		fleet.run(3000, () => {
			const {sync, store} = fleet.agents.get(relay!)!;
			if (sync.isReady()) {
				revisionsWhileReady.add(store.get('route', 'a')?.revision);
			}
		});
		expect([...revisionsWhileReady]).to.deep.equal([7]);
	});

	it('never reports agents that can get no configuration as ready', () => {
		const fleet = createFleet(5, 64);
		fleet.feed.down = true;
		fleet.run(20_000);
		expect(fleet.readyCount()).to.equal(0);
	});

	it('brings a paused agent up to date within 3 s of its resumption', () => {
		const fleet = createFleet(11, 65);
		fleet.feed.records = [route('a', 1)];
		fleet.run(4000);
		fleet.network.pause('e3');
		fleet.feed.records = [...fleet.feed.records, route('a', 2), route('b', 1)];
		fleet.run(3600);
		fleet.network.resume('e3');
		fleet.run(inForceTargetMs);
		expect([fleet.revisions('a')[3], fleet.revisions('b')[3]]).to.deep.equal([2, 1]);
	});

	it('synchronises one changed record among 110,000 with less than 30,000 bytes of messages', function () {
		this.timeout(120_000);
		const random = createRandom(66);
		const records = Array.from({length: 110_000}, (_, index) => route(`route-${index}`, 1));
		const nodes = ['left', 'right'].map(id => {
			const store = createConfigStore();
			store.merge(records);
			return {
				id, store, sync: createConfigSync({
					store, random, peers: () => [id === 'left' ? 'right' : 'left'], nowMs: 0,
				}),
			};
		});
		nodes[0]!.store.merge([route('route-77', 2)]);
		const queue = [...nodes[1]!.sync.tick(0).sends];
		let bytes = 0;
		while (queue.length > 0) {
			const {to, message} = queue.shift()!;
			bytes += JSON.stringify(message).length;
			const node = nodes.find(({id}) => id === to)!;
			const from = to === 'left' ? 'right' : 'left';
			queue.push(...node.sync.receive(from, message).sends);
		}

		expect(nodes[1]!.store.get('route', 'route-77')?.revision).to.equal(2);
		expect(bytes).to.be.below(30_000);
	});

	const hostArbitrary = fc.nat(10).map(index => `e${index}`);
	const eventArbitrary = fc.oneof(
		fc.constantFrom<FeedEvent>({type: 'update'}, {type: 'invalid'}, {type: 'stale'}),
		fc.boolean().map((down): FeedEvent => ({type: 'service', down})),
		hostArbitrary.map((host): FeedEvent => ({type: 'restart', host})),
		hostArbitrary.map((host): FeedEvent => ({type: 'pause', host})),
	);
	it('never reverts a record on any agent through updates, a stale or absent service, invalid records, restarts and pauses', function () {
		this.timeout(120_000);
		fc.assert(fc.property(fc.array(eventArbitrary, {minLength: 3, maxLength: 12}), fc.nat(), (events, seed) => {
			const fleet = createFleet(11, seed, 0.1);
			fleet.feed.records = [route('a', 1)];
			fleet.run(4000);
			const highest = new Map<string, number>();
			let revision = 1;
			const check = () => {
				for (const {id, store, sync} of fleet.agents.values()) {
					const current = store.get('route', 'a')?.revision ?? 0;
					if (sync.isReady()) {
						expect(current, id).to.be.at.least(highest.get(id) ?? 0);
						highest.set(id, current);
					}
				}
			};

			const add = (record: unknown) => {
				fleet.feed.records = [...fleet.feed.records, record];
			};

			const applyEvent = (event: FeedEvent) => {
				switch (event.type) {
					case 'update': {
						add(route('a', ++revision));
						break;
					}

					case 'invalid': {
						add({...route('a', ++revision), semantics: 'often'});
						break;
					}

					case 'stale': {
						add(route('a', 1));
						break;
					}

					case 'service': {
						fleet.feed.down = event.down;
						break;
					}

					case 'restart': {
						fleet.restart(event.host);
						break;
					}

					case 'pause': {
						fleet.network.pause(event.host);
						break;
					}
				}
			};

			for (const event of events) {
				applyEvent(event);
				fleet.run(1500, check);
				for (const id of fleet.agents.keys()) {
					fleet.network.resume(id);
				}
			}

			fleet.run(inForceTargetMs, check);
			expect(new Set(fleet.revisions('a')).size).to.equal(1);
		}), {seed: 67, numRuns: 25});
	});
});
