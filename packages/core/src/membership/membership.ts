/**
 * Membership of entry hosts: SWIM with incarnations, indirect probes and local health.
 *
 * Each host is watched by the hosts before it on a ring, so that its loss is noticed within a bounded time whatever
 * the size of the fleet. A member is taken out of the answers to callers once several hosts failed to reach it; a
 * suspicion that nobody shares lapses.
 */

import type {EntryHost} from '../platform/types.ts';
import {sampleItems, type Random} from '../random.ts';
import {createBroadcasts} from './broadcasts.ts';
import {
	compareIntervalMs, contactIntervalMs, deadRetentionMs, gossipBursts, gossipFanout, gossipIntervalMs, indirectHelpers,
	maxStateUpdates, maxUpdates, neededSuspecters, probePeriodMs, sleepGapMs, startContactIntervalMs, suspectCheckers, suspicionTimeoutMs,
	trustWaitMs, watchedHosts, watchProbes,
} from './constants.ts';
import {createHearing} from './hearing.ts';
import {createLocalHealth} from './health.ts';
import {createProbes, type Probe} from './probes.ts';
import {createMemberTable, isPresent, mergeUpdate} from './table.ts';
import type {
	EntryState, MembershipCounters, MemberMessage, MemberSend, MemberUpdate, MemberView,
} from './types.ts';

/** Where a peer is reached. */
export type PeerAddress = MemberSend['to'];

/** What the membership of one agent starts from. */
export type MembershipOptions = {
	readonly self: EntryHost;
	/** Higher than that of any earlier life of this host, as far as the process can tell. */
	readonly incarnation: number;
	readonly random: Random;
	readonly nowMs: number;
};

/** The membership as one agent sees it. Every call returns what has to be sent. */
export type Membership = {
	/** Entry hosts that the platform lists. The list lags: it introduces hosts, but proves nothing. */
	readonly setHostList: (hosts: readonly EntryHost[]) => void;
	/** The entry process of this host changed its state. */
	readonly setEntryState: (state: EntryState, entryIncarnation: number, nowMs: number) => readonly MemberSend[];
	/** This agent shuts down. */
	readonly leave: (nowMs: number) => readonly MemberSend[];
	readonly receive: (from: PeerAddress, message: MemberMessage, nowMs: number) => readonly MemberSend[];
	/** To be called every few tens of milliseconds. */
	readonly tick: (nowMs: number) => readonly MemberSend[];
	/** All members that are remembered, this host included. */
	readonly members: () => readonly MemberView[];
	/** False after the start and after a sleep, until a peer has confirmed or corrected the view. */
	readonly isTrusted: (nowMs: number) => boolean;
	/** Rises whenever `members` may have changed. */
	readonly version: () => number;
	readonly counters: () => MembershipCounters;
};

/** Sequence of a ping whose answer nobody waits for. */
const noProbe = 0;

/** Sequence of a state that answers no comparison of its receiver. */
const noComparison = 0;

/** Creates the membership of one agent. */
export const createMembership = (options: MembershipOptions): Membership => {
	const {self, random} = options;
	const table = createMemberTable();
	const probes = createProbes();
	const broadcasts = createBroadcasts();
	const health = createLocalHealth();
	const hearing = createHearing();
	const suspicionStartsMs = new Map<string, number>();
	const deathsMs = new Map<string, number>();
	const counters = {
		probesSent: 0, probesFailed: 0, suspicionsRaised: 0, suspicionsLapsed: 0, refutations: 0, deathsDeclared: 0, pausesDetected: 0,
	};
	let listed: ReadonlyMap<string, EntryHost> = new Map();
	let listVersion = 0;
	let outbox: MemberSend[] = [];
	let lastMs = options.nowMs;
	let nextProbeMs = options.nowMs + (random.next() * probePeriodMs);
	let nextContactMs = options.nowMs;
	let nextIntroductionMs = options.nowMs;
	let nextCompareMs = options.nowMs + (random.next() * compareIntervalMs);
	let nextGossipMs = options.nowMs;
	let lastComparison = 0;
	let firstAwakeComparison = 1;
	let burstsLeft = 0;
	let watchTurn = 0;
	let trustedFromMs = options.nowMs + trustWaitMs;
	let isTrusted = false;

	const own = (): MemberUpdate => table.get(self.hostId)!;

	const drain = (): readonly MemberSend[] => {
		const sends = outbox;
		outbox = [];
		return sends;
	};

	const others = (): readonly MemberUpdate[] => table.ring().filter(({host}) => host.hostId !== self.hostId);

	/** Hosts, this one included, that could tell whether `hostId` is reachable; at least one has to. */
	const requiredSuspecters = (hostId: string): number => {
		const witnesses = table.ring().length - (isPresent(table.get(hostId) ?? own()) ? 1 : 0);
		return Math.min(neededSuspecters, Math.max(1, witnesses));
	};

	const isConfirmed = ({host, suspectedBy}: MemberUpdate): boolean => suspectedBy.length >= requiredSuspecters(host.hostId);

	const pickOthers = (count: number, except = ''): readonly MemberUpdate[] =>
		sampleItems(others().filter(({host}) => host.hostId !== except), count, random);

	const sendDatagram = (to: PeerAddress, message: MemberMessage): void => {
		outbox.push({to, transport: 'datagram', message});
	};

	const sendStream = (to: PeerAddress, message: MemberMessage): void => {
		outbox.push({to, transport: 'stream', message});
	};

	/** News to put on a message to `to`; what is said against the receiver goes first, so that it can refute it. */
	const takeNews = (to: string): readonly MemberUpdate[] => {
		const aboutReceiver = table.get(to);
		const isAccused = aboutReceiver !== undefined && aboutReceiver.status !== 'alive';
		const news = broadcasts.take(maxUpdates, table.ring().length).filter(({host}) => host.hostId !== to);
		return isAccused ? [aboutReceiver, ...news] : news;
	};

	const announce = (update: MemberUpdate): void => {
		broadcasts.add(update);
		burstsLeft = gossipBursts;
	};

	const setOwn = (changes: Partial<MemberUpdate>, incarnation = own().incarnation + 1): void => {
		const update = {...own(), ...changes, incarnation};
		table.set(update);
		announce(update);
	};

	const sendPing = (to: PeerAddress, sequence: number, introduce = false): void => {
		const news = takeNews(to.hostId);
		const updates = introduce ? [own(), ...news] : news;
		sendDatagram(to, {
			type: 'ping', sequence, target: to.hostId, introduce, updates,
		});
	};

	const startProbe = ({host}: MemberUpdate, nowMs: number): void => {
		counters.probesSent++;
		sendPing(host, probes.start(host.hostId, nowMs).sequence);
	};

	/** The next hosts on the ring; those this agent suspects already are passed over. */
	const watched = (): readonly MemberUpdate[] => {
		const ring = table.ring();
		const place = ring.findIndex(({host}) => host.hostId === self.hostId);
		const targets: MemberUpdate[] = [];
		for (let step = 1; step < ring.length && targets.length < watchedHosts; step++) {
			const member = ring[(place + step) % ring.length]!;
			if (!member.suspectedBy.includes(self.hostId)) {
				targets.push(member);
			}
		}

		return targets;
	};

	const markDead = (update: MemberUpdate, nowMs: number): void => {
		const dead: MemberUpdate = {...update, status: 'dead', suspectedBy: []};
		table.set(dead);
		deathsMs.set(update.host.hostId, nowMs);
		suspicionStartsMs.delete(update.host.hostId);
		counters.deathsDeclared++;
		announce(dead);
	};

	/** A few agents, chosen at random, check a member that too few have failed to reach. */
	const checkSuspect = (update: MemberUpdate, nowMs: number): void => {
		const isChosen = random.next() < suspectCheckers / Math.max(1, table.ring().length);
		const isOpen = !isConfirmed(update) && !update.suspectedBy.includes(self.hostId);
		if (isChosen && isOpen && !probes.isProbing(update.host.hostId)) {
			startProbe(update, nowMs);
		}
	};

	const noteStatus = (update: MemberUpdate, nowMs: number): void => {
		const {hostId} = update.host;
		switch (update.status) {
			case 'alive': {
				suspicionStartsMs.delete(hostId);
				deathsMs.delete(hostId);
				return;
			}

			case 'suspect': {
				if (!suspicionStartsMs.has(hostId)) {
					suspicionStartsMs.set(hostId, nowMs);
				}

				checkSuspect(update, nowMs);

				return;
			}

			case 'dead':
			case 'left': {
				suspicionStartsMs.delete(hostId);
				deathsMs.set(hostId, nowMs);
			}
		}
	};

	const refute = (update: MemberUpdate): void => {
		const isEcho = update.incarnation === own().incarnation && (update.status === 'alive' || own().status === 'left');
		if (update.incarnation < own().incarnation || isEcho) {
			return;
		}

		counters.refutations++;
		setOwn({}, update.incarnation + 1);
	};

	const apply = (update: MemberUpdate, nowMs: number, isNews: boolean): void => {
		if (update.host.hostId === self.hostId) {
			refute(update);
			return;
		}

		const merged = mergeUpdate(table.get(update.host.hostId), update);
		if (merged === undefined) {
			return;
		}

		table.set(merged);
		noteStatus(merged, nowMs);
		if (isNews) {
			announce(merged);
		}
	};

	const failProbe = (probe: Probe, nowMs: number): void => {
		counters.probesFailed++;
		const member = table.get(probe.target);
		if (member === undefined || !isPresent(member)) {
			return;
		}

		const isAlone = others().length <= 1;
		if (!isAlone && !hearing.heardOther(probe.target, probe.sentMs)) {
			health.noteFailure();
			return;
		}

		if (!isAlone && !probe.nacked) {
			health.noteFailure();
		}

		if (!isTrusted) {
			return;
		}

		counters.suspicionsRaised++;
		apply({...member, status: 'suspect', suspectedBy: [self.hostId]}, nowMs, true);
	};

	const advanceProbes = (nowMs: number): void => {
		const {toAskHelpers, failed, unhelped} = probes.due(nowMs, health.factor());
		for (const probe of toAskHelpers) {
			probe.indirect = true;
			for (const {host} of pickOthers(indirectHelpers, probe.target)) {
				sendDatagram(host, {
					type: 'ping-request', sequence: probe.sequence, target: probe.target, updates: takeNews(host.hostId),
				});
			}
		}

		for (const probe of failed) {
			failProbe(probe, nowMs);
		}

		for (const {requester, requestSequence} of unhelped) {
			const member = table.get(requester);
			if (member !== undefined) {
				sendDatagram(member.host, {type: 'nack', sequence: requestSequence, updates: []});
			}
		}
	};

	const startProbes = (nowMs: number): void => {
		if (nowMs < nextProbeMs) {
			return;
		}

		nextProbeMs = nowMs + probePeriodMs;
		const ringTargets = watched();
		const inTurn = Array.from({length: Math.min(watchProbes, ringTargets.length)}, () => ringTargets[watchTurn++ % ringTargets.length]!);
		const targets = new Set([...inTurn, ...pickOthers(1)]);
		for (const target of targets) {
			if (!probes.isProbing(target.host.hostId)) {
				startProbe(target, nowMs);
			}
		}
	};

	const advanceSuspicions = (nowMs: number): void => {
		for (const [hostId, startMs] of suspicionStartsMs) {
			if (nowMs - startMs < suspicionTimeoutMs) {
				continue;
			}

			const member = table.get(hostId)!;
			if (isConfirmed(member)) {
				markDead(member, nowMs);
				continue;
			}

			suspicionStartsMs.delete(hostId);
			counters.suspicionsLapsed++;
			table.set({...member, status: 'alive', suspectedBy: []});
		}
	};

	const spreadNews = (nowMs: number): void => {
		if (burstsLeft === 0 || nowMs < nextGossipMs) {
			return;
		}

		burstsLeft--;
		nextGossipMs = nowMs + gossipIntervalMs;
		for (const {host} of pickOthers(gossipFanout)) {
			const updates = takeNews(host.hostId);
			if (updates.length > 0) {
				sendDatagram(host, {type: 'gossip', updates});
			}
		}
	};

	const compareWith = (member: MemberUpdate): void => {
		sendStream(member.host, {type: 'state-digest', sequence: ++lastComparison, groups: table.groupDigests()});
	};

	const startComparison = (nowMs: number): void => {
		const isDue = nowMs >= nextCompareMs;
		if (!isDue) {
			return;
		}

		const intervalMs = isTrusted ? compareIntervalMs * (0.5 + random.next()) : startContactIntervalMs;
		nextCompareMs = nowMs + intervalMs;
		for (const member of pickOthers(1)) {
			compareWith(member);
		}
	};

	const contactListed = (nowMs: number): void => {
		if (nowMs < nextContactMs) {
			return;
		}

		const isAlone = others().length === 0;
		nextContactMs = nowMs + (isAlone ? startContactIntervalMs : contactIntervalMs);
		const absent = [...listed.values()].filter(({hostId}) => {
			const member = table.get(hostId);
			return hostId !== self.hostId && (member === undefined || !isPresent(member));
		});
		for (const host of sampleItems(absent, isAlone ? gossipFanout : 1, random)) {
			sendPing(host, noProbe, true);
		}
	};

	const forgetDead = (nowMs: number): void => {
		for (const [hostId, deathMs] of deathsMs) {
			if (nowMs - deathMs >= deadRetentionMs) {
				deathsMs.delete(hostId);
				table.remove(hostId);
			}
		}
	};

	const becomeTrusted = (nowMs: number): void => {
		if (!isTrusted) {
			isTrusted = true;
			nextCompareMs = nowMs + compareIntervalMs;
		}
	};

	/** A process that slept drops its unfinished judgements and asks its peers before it trusts its view. */
	const noteTime = (nowMs: number): void => {
		const gapMs = nowMs - lastMs;
		lastMs = Math.max(lastMs, nowMs);
		if (gapMs < sleepGapMs) {
			return;
		}

		counters.pausesDetected++;
		health.noteSleep();
		probes.clear();
		for (const [hostId, startMs] of suspicionStartsMs) {
			suspicionStartsMs.set(hostId, startMs + gapMs);
		}

		isTrusted = false;
		firstAwakeComparison = lastComparison + 1;
		trustedFromMs = nowMs + trustWaitMs;
		nextCompareMs = nowMs;
	};

	const answerPing = (from: PeerAddress, message: MemberMessage & {type: 'ping'}): void => {
		if (message.target !== self.hostId) {
			sendDatagram(from, {type: 'not-me', target: message.target, updates: [own()]});
			return;
		}

		const news = takeNews(from.hostId);
		const updates = message.introduce ? [own(), ...news] : news;
		sendDatagram(from, {
			type: 'ack', sequence: message.sequence, target: self.hostId, updates,
		});
	};

	const takeAck = (message: MemberMessage & {type: 'ack'}): void => {
		if (probes.finish(message.sequence, message.target) !== undefined) {
			health.noteSuccess();
			return;
		}

		const helped = probes.finishHelped(message.sequence);
		const requester = helped && table.get(helped.requester);
		if (helped?.target === message.target && requester) {
			sendDatagram(requester.host, {
				type: 'ack', sequence: helped.requestSequence, target: helped.target, updates: [],
			});
		}
	};

	const helpProbe = (from: PeerAddress, message: MemberMessage & {type: 'ping-request'}, nowMs: number): void => {
		const target = table.get(message.target);
		if (target !== undefined) {
			const request = {requester: from.hostId, requestSequence: message.sequence, target: message.target};
			sendPing(target.host, probes.startForOther(request, nowMs));
		}
	};

	const takeNotMe = (from: PeerAddress, target: string, nowMs: number): void => {
		const member = table.get(target);
		const isThere = member?.host.address === from.address && member.host.peerPort === from.peerPort;
		if (isThere && isPresent(member)) {
			markDead(member, nowMs);
		}
	};

	const sendState = (to: PeerAddress, sequence: number, groups: readonly number[], wanted: readonly number[]): void => {
		const updates = table.inGroups(groups);
		for (let start = 0; start === 0 || start < updates.length; start += maxStateUpdates) {
			const isLast = start + maxStateUpdates >= updates.length;
			const part = updates.slice(start, start + maxStateUpdates);
			sendStream(to, {
				type: 'state', sequence, updates: part, wanted: isLast ? wanted : [],
			});
		}
	};

	const answerDigest = (from: PeerAddress, {sequence, groups}: MemberMessage & {type: 'state-digest'}): void => {
		const differing = table.groupDigests().flatMap((digest, group) => digest === groups[group] ? [] : [group]);
		sendState(from, sequence, differing, differing);
	};

	const takeState = (from: PeerAddress, message: MemberMessage & {type: 'state'}, nowMs: number): void => {
		for (const update of message.updates) {
			apply(update, nowMs, false);
		}

		if (message.wanted.length > 0) {
			sendState(from, noComparison, message.wanted, []);
		}

		if (message.sequence >= firstAwakeComparison) {
			becomeTrusted(nowMs);
		}
	};

	const takeUpdates = (message: MemberMessage, nowMs: number): void => {
		if (message.type === 'state-digest' || message.type === 'state') {
			return;
		}

		for (const update of message.updates) {
			apply(update, nowMs, true);
		}
	};

	/** A host that is probed by one it does not know has started without a host list; the prober tells it the rest. */
	const introduceTo = (from: PeerAddress, nowMs: number): void => {
		if (table.get(from.hostId) === undefined && nowMs >= nextIntroductionMs) {
			nextIntroductionMs = nowMs + startContactIntervalMs;
			sendPing(from, noProbe, true);
		}
	};

	const handle = (from: PeerAddress, message: MemberMessage, nowMs: number): void => {
		switch (message.type) {
			case 'ping': {
				answerPing(from, message);
				return;
			}

			case 'ack': {
				takeAck(message);
				return;
			}

			case 'not-me': {
				takeNotMe(from, message.target, nowMs);
				return;
			}

			case 'ping-request': {
				helpProbe(from, message, nowMs);
				return;
			}

			case 'nack': {
				probes.noteNack(message.sequence);
				return;
			}

			case 'gossip': {
				return;
			}

			case 'state-digest': {
				answerDigest(from, message);
				return;
			}

			case 'state': {
				takeState(from, message, nowMs);
			}
		}
	};

	const viewOf = (update: MemberUpdate): MemberView => ({
		host: update.host,
		status: update.status,
		entryState: update.entryState,
		entryIncarnation: update.entryIncarnation,
		usable: isPresent(update)
			&& !(update.status === 'suspect' && isConfirmed(update))
			&& update.entryState === 'up'
			&& listed.get(update.host.hostId)?.state !== 'leaving',
	});

	table.set({
		host: self, incarnation: options.incarnation, status: 'alive', entryState: 'down', entryIncarnation: 0, suspectedBy: [],
	});
	announce(own());

	return {
		setHostList(hosts) {
			listed = new Map(hosts.map(host => [host.hostId, host]));
			listVersion++;
		},
		setEntryState(state, entryIncarnation, nowMs) {
			setOwn({entryState: state, entryIncarnation});
			spreadNews(nowMs);
			return drain();
		},
		leave(nowMs) {
			setOwn({status: 'left', entryState: 'down'});
			spreadNews(nowMs);
			return drain();
		},
		receive(from, message, nowMs) {
			noteTime(nowMs);
			hearing.note(from.hostId, nowMs);
			takeUpdates(message, nowMs);
			introduceTo(from, nowMs);
			handle(from, message, nowMs);
			return drain();
		},
		tick(nowMs) {
			noteTime(nowMs);
			if (!isTrusted && nowMs >= trustedFromMs) {
				becomeTrusted(nowMs);
			}

			advanceProbes(nowMs);
			advanceSuspicions(nowMs);
			if (own().status === 'alive') {
				startProbes(nowMs);
				contactListed(nowMs);
				startComparison(nowMs);
			}

			spreadNews(nowMs);
			forgetDead(nowMs);
			return drain();
		},
		members: () => [...table.all()].map(update => viewOf(update)),
		isTrusted(nowMs) {
			noteTime(nowMs);
			return isTrusted;
		},
		version: () => table.version() + listVersion,
		counters: () => ({...counters}),
	};
};
