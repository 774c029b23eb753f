/** A fleet of agents with a membership each, on a manual clock and an in-memory network. */

import {createMembership, type Membership} from '../../src/membership/membership.ts';
import type {MemberMessage, MemberSend} from '../../src/membership/types.ts';
import type {EntryHost} from '../../src/platform/types.ts';
import {createRandom} from '../../src/random.ts';
import {createNetwork} from './network.ts';

const stepMs = 10;
const tickMs = 50;

export type FleetOptions = {
	readonly count: number;
	readonly seed: number;
	readonly lossShare?: number;
	/** Selects the published host list; all hosts by default. */
	readonly listed?: (hosts: readonly EntryHost[]) => readonly EntryHost[];
};

export const createHost = (index: number, hostId = `e${index}`): EntryHost => ({
	role: 'entry', hostId, address: `a${index}`, region: 'ga-north', dataCentre: `dc-${index % 3}`, state: 'live', entryPort: 1, locatePort: 2, peerPort: 3,
});

/** Creates a fleet. Each address is a node of the network, at which at most one process runs. */
export const createMemberFleet = ({count, seed, lossShare = 0, listed = hosts => hosts}: FleetOptions) => {
	const random = createRandom(seed);
	const network = createNetwork<MemberMessage>(random, {lossShare});
	const agents = new Map<string, {readonly host: EntryHost; readonly membership: Membership; readonly offsetMs: number}>();
	let nowMs = 0;
	let bytes = 0;

	const apply = (address: string, sends: readonly MemberSend[]) => {
		for (const {to, message} of sends) {
			bytes += JSON.stringify(message).length;
			network.send(address, to.address, message, nowMs);
		}
	};

	const allHosts = Array.from({length: count}, (_, index) => createHost(index));
	const startHost = (host: EntryHost, hosts = listed(allHosts)) => {
		const membership = createMembership({
			self: host, incarnation: nowMs + 1, random, nowMs,
		});
		membership.setHostList(hosts);
		network.start(host.address);
		agents.set(host.address, {host, membership, offsetMs: Math.floor(random.next() * tickMs / stepMs) * stepMs});
		apply(host.address, membership.setEntryState('up', nowMs + 1, nowMs));
	};

	for (const host of allHosts) {
		startHost(host);
	}

	const step = () => {
		nowMs += stepMs;
		network.deliver(nowMs, ({from, to, message}) => {
			const sender = agents.get(from)!.host;
			apply(to, agents.get(to)?.membership.receive(sender, message, nowMs) ?? []);
		});
		for (const [address, {membership, offsetMs}] of agents) {
			if (network.isRunning(address) && (nowMs + offsetMs) % tickMs === 0) {
				apply(address, membership.tick(nowMs));
			}
		}
	};

	const run = (durationMs: number, check?: () => void) => {
		for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
			step();
			check?.();
		}
	};

	const running = () => [...agents].filter(([address]) => network.isRunning(address)).map(([, agent]) => agent);
	const usableHosts = (agent: {readonly membership: Membership}) =>
		new Set(agent.membership.members().filter(member => member.usable).map(member => member.host.hostId));

	return {
		agents, network, run, startHost, apply, running, usableHosts,
		nowMs: () => nowMs,
		bytes: () => bytes,
		/** Number of running agents to which `hostId` is usable. */
		countNaming: (hostId: string) => running().filter(agent => usableHosts(agent).has(hostId)).length,
		/** Time until `hostId` is usable to no running agent, except those on the hosts `except`; undefined if it exceeds `limitMs`. */
		timeUntilUnnamed(hostId: string, limitMs: number, except: readonly string[] = []) {
			const startMs = nowMs;
			const isNamed = () => running().some(agent => !except.includes(agent.host.hostId) && usableHosts(agent).has(hostId));
			while (isNamed()) {
				if (nowMs - startMs >= limitMs) {
					return undefined;
				}

				run(tickMs);
			}

			return nowMs - startMs;
		},
		isolate(address: string, direction: 'in' | 'out') {
			for (const other of agents.keys()) {
				if (other !== address) {
					const [from, to] = direction === 'in' ? [other, address] as const : [address, other] as const;
					network.cutLink(from, to);
				}
			}
		},
	};
};
