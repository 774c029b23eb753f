/**
 * Membership of entry hosts: SWIM with incarnations, indirect probes and local health.
 *
 * Each host is probed by the hosts before it on a ring, so that its loss is detected within a bounded time whatever
 * the size of the fleet. A member is no longer named to callers once several hosts failed to reach it; a suspicion
 * that too few hosts share lapses.
 */

import type {EntryHost} from '../platform/types.ts';
import {sampleItems, type Random} from '../random.ts';
import {createBroadcasts} from './broadcasts.ts';
import {
	compareIntervalMs, contactIntervalMs, deadRetentionMs, gossipRounds, gossipFanout, gossipIntervalMs, indirectHelpers,
	maxStateUpdates, maxUpdates, suspicionConfirmations, probePeriodMs, pauseThresholdMs, startContactIntervalMs, suspectCheckers, suspicionTimeoutMs,
	trustWaitMs, watchedHosts, watchProbesPerRound,
} from './constants.ts';
import {createRecentContacts} from './recent-contacts.ts';
import {createLocalHealth} from './health.ts';
import {createProbes, type Probe} from './probes.ts';
import {createMemberTable, isPresent, mergeUpdate} from './table.ts';
import type {
	EntryState, MembershipCounters, MemberMessage, MemberSend, MemberUpdate, MemberView,
} from './types.ts';

/** Host id and address of a peer. */
export type PeerAddress = MemberSend['to'];

/** Initial state and dependencies of the membership of one agent. */
export type MembershipOptions = {
	readonly self: EntryHost;
	/** Higher than any incarnation that this host used before, as far as the process can tell. */
	readonly incarnation: number;
	readonly random: Random;
	readonly nowMs: number;
};

/** The membership as one agent sees it. Calls that return `MemberSend`s expect the caller to send them. */
export type Membership = {
	/** Sets the entry hosts listed by the platform. The list lags: it supplies hosts to contact, but is no evidence that one is up. */
	readonly setHostList: (hosts: readonly EntryHost[]) => void;
	/** Sets the state of the entry process of this host and announces it. */
	readonly setEntryState: (state: EntryState, entryIncarnation: number, nowMs: number) => readonly MemberSend[];
	/** Announces that this agent shuts down. */
	readonly leave: (nowMs: number) => readonly MemberSend[];
	/** Pings a member outside the rounds of probes; no answer raises no suspicion. */
	readonly ping: (hostId: string) => readonly MemberSend[];
	readonly receive: (from: PeerAddress, message: MemberMessage, nowMs: number) => readonly MemberSend[];
	/** Runs the timers; to be called every few tens of milliseconds. */
	readonly tick: (nowMs: number) => readonly MemberSend[];
	/** All members in the table, including this host and dead ones that are still kept. */
	readonly members: () => readonly MemberView[];
	/** False after a start or a pause of the process, until a peer has confirmed or corrected the view or the wait for it is over. */
	readonly isTrusted: (nowMs: number) => boolean;
	/** Increases whenever the result of `members` may have changed. */
	readonly version: () => number;
	readonly counters: () => MembershipCounters;
};

/** Sequence of a ping that is not part of a probe, so that its answer is ignored. */
const noProbe = 0;

/** Sequence of a `state` message that does not answer a comparison started by its receiver. */
const noComparison = 0;

/** Creates the membership of one agent. */
export const createMembership = (options: MembershipOptions): Membership => {
	const {self, random} = options;
	const table = createMemberTable();
	const probes = createProbes();
	const broadcasts = createBroadcasts();
	const health = createLocalHealth();
	const contacts = createRecentContacts();
	const suspicionStartsMs = new Map<string, number>();
	const deathsMs = new Map<string, number>();
	const counters = {
		probesSent: 0, probesFailed: 0, suspicionsRaised: 0, suspicionsLapsed: 0, refutations: 0, deathsDeclared: 0, pausesDetected: 0,
	};
	let listedHosts: ReadonlyMap<string, EntryHost> = new Map();
	let listVersion = 0;
	let outbox: MemberSend[] = [];
	let lastMs = options.nowMs;
	let nextProbeMs = options.nowMs + (random.next() * probePeriodMs);
	let nextContactMs = options.nowMs;
	let nextIntroductionMs = options.nowMs;
	let nextCompareMs = options.nowMs + (random.next() * compareIntervalMs);
	let nextGossipMs = options.nowMs;
	let lastComparison = 0;
	let firstComparisonAfterPause = 1;
	let gossipRoundsLeft = 0;
	let watchTurn = 0;
	let trustedFromMs = options.nowMs + trustWaitMs;
	let isTrusted = false;

	const ownUpdate = (): MemberUpdate => table.get(self.hostId)!;

	const flushOutbox = (): readonly MemberSend[] => {
		const sends = outbox;
		outbox = [];
		return sends;
	};

	const others = (): readonly MemberUpdate[] => table.ring().filter(({host}) => host.hostId !== self.hostId);

	/** Hosts that must suspect `hostId`, at least one; fewer than usual when the fleet has fewer that could tell. */
	const requiredConfirmations = (hostId: string): number => {
		const witnesses = table.ring().length - (isPresent(table.get(hostId) ?? ownUpdate()) ? 1 : 0);
		return Math.min(suspicionConfirmations, Math.max(1, witnesses));
	};

	const isConfirmed = ({host, suspectedBy}: MemberUpdate): boolean => suspectedBy.length >= requiredConfirmations(host.hostId);

	const pickOthers = (count: number, except = ''): readonly MemberUpdate[] =>
		sampleItems(others().filter(({host}) => host.hostId !== except), count, random);

	const sendDatagram = (to: PeerAddress, message: MemberMessage): void => {
		outbox.push({to, transport: 'datagram', message});
	};

	const sendStream = (to: PeerAddress, message: MemberMessage): void => {
		outbox.push({to, transport: 'stream', message});
	};

	/** Updates to piggyback on a message to `to`. One that does not report the receiver as alive goes first, so that the receiver can refute it. */
	const takeUpdatesFor = (to: string): readonly MemberUpdate[] => {
		const aboutReceiver = table.get(to);
		const needsRefutation = aboutReceiver !== undefined && aboutReceiver.status !== 'alive';
		const queued = broadcasts.take(maxUpdates, table.ring().length).filter(({host}) => host.hostId !== to);
		return needsRefutation ? [aboutReceiver, ...queued] : queued;
	};

	const announce = (update: MemberUpdate): void => {
		broadcasts.add(update);
		gossipRoundsLeft = gossipRounds;
	};

	const updateOwn = (changes: Partial<MemberUpdate>, incarnation = ownUpdate().incarnation + 1): void => {
		const update = {...ownUpdate(), ...changes, incarnation};
		table.set(update);
		announce(update);
	};

	const sendPing = (to: PeerAddress, sequence: number, introduce = false): void => {
		const queued = takeUpdatesFor(to.hostId);
		const updates = introduce ? [ownUpdate(), ...queued] : queued;
		sendDatagram(to, {
			type: 'ping', sequence, target: to.hostId, introduce, updates,
		});
	};

	const startProbe = ({host}: MemberUpdate, nowMs: number): void => {
		counters.probesSent++;
		sendPing(host, probes.start(host.hostId, nowMs).sequence);
	};

	/** The next hosts on the ring, without those that this agent already suspects. */
	const watchedMembers = (): readonly MemberUpdate[] => {
		const ring = table.ring();
		const position = ring.findIndex(({host}) => host.hostId === self.hostId);
		const targets: MemberUpdate[] = [];
		for (let step = 1; step < ring.length && targets.length < watchedHosts; step++) {
			const member = ring[(position + step) % ring.length]!;
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

	/** Probes a suspected member if too few hosts share the suspicion; at random, so that only a few agents in the fleet do so. */
	const checkSuspect = (update: MemberUpdate, nowMs: number): void => {
		const isChosen = random.next() < suspectCheckers / Math.max(1, table.ring().length);
		const needsCheck = !isConfirmed(update) && !update.suspectedBy.includes(self.hostId);
		if (isChosen && needsCheck && !probes.isProbing(update.host.hostId)) {
			startProbe(update, nowMs);
		}
	};

	const recordStatus = (update: MemberUpdate, nowMs: number): void => {
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
		// An update of the current incarnation needs no refutation if it says that this agent is alive, or if this agent has left.
		const isEcho = update.incarnation === ownUpdate().incarnation && (update.status === 'alive' || ownUpdate().status === 'left');
		if (update.incarnation < ownUpdate().incarnation || isEcho) {
			return;
		}

		counters.refutations++;
		updateOwn({}, update.incarnation + 1);
	};

	const apply = (update: MemberUpdate, nowMs: number, shouldAnnounce: boolean): void => {
		if (update.host.hostId === self.hostId) {
			refute(update);
			return;
		}

		const merged = mergeUpdate(table.get(update.host.hostId), update);
		if (merged === undefined) {
			return;
		}

		table.set(merged);
		recordStatus(merged, nowMs);
		if (shouldAnnounce) {
			announce(merged);
		}
	};

	const handleFailedProbe = (probe: Probe, nowMs: number): void => {
		counters.probesFailed++;
		const member = table.get(probe.target);
		if (member === undefined || !isPresent(member)) {
			return;
		}

		const isAlone = others().length <= 1;
		if (!isAlone && !contacts.hasHeardFromOther(probe.target, probe.sentMs)) {
			health.recordFailure();
			return;
		}

		if (!isAlone && !probe.isNacked) {
			health.recordFailure();
		}

		if (!isTrusted) {
			return;
		}

		counters.suspicionsRaised++;
		apply({...member, status: 'suspect', suspectedBy: [self.hostId]}, nowMs, true);
	};

	const advanceProbes = (nowMs: number): void => {
		const {toAskHelpers, failed, unansweredDelegated} = probes.due(nowMs, health.timeoutFactor());
		for (const probe of toAskHelpers) {
			probe.isIndirect = true;
			for (const {host} of pickOthers(indirectHelpers, probe.target)) {
				sendDatagram(host, {
					type: 'ping-request', sequence: probe.sequence, target: probe.target, updates: takeUpdatesFor(host.hostId),
				});
			}
		}

		for (const probe of failed) {
			handleFailedProbe(probe, nowMs);
		}

		for (const {requester, requestSequence} of unansweredDelegated) {
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
		const ringTargets = watchedMembers();
		const nextTargets = Array.from({length: Math.min(watchProbesPerRound, ringTargets.length)}, () => ringTargets[watchTurn++ % ringTargets.length]!);
		const targets = new Set([...nextTargets, ...pickOthers(1)]);
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

	const sendGossip = (nowMs: number): void => {
		if (gossipRoundsLeft === 0 || nowMs < nextGossipMs) {
			return;
		}

		gossipRoundsLeft--;
		nextGossipMs = nowMs + gossipIntervalMs;
		for (const {host} of pickOthers(gossipFanout)) {
			const updates = takeUpdatesFor(host.hostId);
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
		const absent = [...listedHosts.values()].filter(({hostId}) => {
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

	const markTrusted = (nowMs: number): void => {
		if (!isTrusted) {
			isTrusted = true;
			nextCompareMs = nowMs + compareIntervalMs;
		}
	};

	/**
	 * After a pause of the process, drops probes in flight, extends suspicions by the pause and distrusts the view until a
	 * peer answers or `trustWaitMs` has passed.
	 */
	const detectPause = (nowMs: number): void => {
		const gapMs = nowMs - lastMs;
		lastMs = Math.max(lastMs, nowMs);
		if (gapMs < pauseThresholdMs) {
			return;
		}

		counters.pausesDetected++;
		health.recordPause();
		probes.clear();
		for (const [hostId, startMs] of suspicionStartsMs) {
			suspicionStartsMs.set(hostId, startMs + gapMs);
		}

		isTrusted = false;
		firstComparisonAfterPause = lastComparison + 1;
		trustedFromMs = nowMs + trustWaitMs;
		nextCompareMs = nowMs;
	};

	const answerPing = (from: PeerAddress, message: MemberMessage & {type: 'ping'}): void => {
		if (message.target !== self.hostId) {
			sendDatagram(from, {type: 'not-me', target: message.target, updates: [ownUpdate()]});
			return;
		}

		const queued = takeUpdatesFor(from.hostId);
		const updates = message.introduce ? [ownUpdate(), ...queued] : queued;
		sendDatagram(from, {
			type: 'ack', sequence: message.sequence, target: self.hostId, updates,
		});
	};

	const handleAck = (message: MemberMessage & {type: 'ack'}): void => {
		if (probes.finish(message.sequence, message.target) !== undefined) {
			health.recordSuccess();
			return;
		}

		const delegated = probes.finishDelegated(message.sequence);
		const requester = delegated && table.get(delegated.requester);
		if (delegated?.target === message.target && requester) {
			sendDatagram(requester.host, {
				type: 'ack', sequence: delegated.requestSequence, target: delegated.target, updates: [],
			});
		}
	};

	const handlePingRequest = (from: PeerAddress, message: MemberMessage & {type: 'ping-request'}, nowMs: number): void => {
		const target = table.get(message.target);
		if (target !== undefined) {
			const request = {requester: from.hostId, requestSequence: message.sequence, target: message.target};
			sendPing(target.host, probes.startDelegated(request, nowMs));
		}
	};

	const handleNotMe = (from: PeerAddress, target: string, nowMs: number): void => {
		const member = table.get(target);
		const isAddressTakenOver = member?.host.address === from.address && member.host.peerPort === from.peerPort;
		if (isAddressTakenOver && isPresent(member)) {
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

	const handleState = (from: PeerAddress, message: MemberMessage & {type: 'state'}, nowMs: number): void => {
		for (const update of message.updates) {
			apply(update, nowMs, false);
		}

		if (message.wanted.length > 0) {
			sendState(from, noComparison, message.wanted, []);
		}

		if (message.sequence >= firstComparisonAfterPause) {
			markTrusted(nowMs);
		}
	};

	const applyUpdates = (message: MemberMessage, nowMs: number): void => {
		if (message.type === 'state-digest' || message.type === 'state') {
			return;
		}

		for (const update of message.updates) {
			apply(update, nowMs, true);
		}
	};

	/** Pings an unknown sender: this agent may have started without a host list and learns the other members from the sender. */
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
				handleAck(message);
				return;
			}

			case 'not-me': {
				handleNotMe(from, message.target, nowMs);
				return;
			}

			case 'ping-request': {
				handlePingRequest(from, message, nowMs);
				return;
			}

			case 'nack': {
				probes.recordNack(message.sequence);
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
				handleState(from, message, nowMs);
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
			&& listedHosts.get(update.host.hostId)?.state !== 'leaving',
	});

	table.set({
		host: self, incarnation: options.incarnation, status: 'alive', entryState: 'down', entryIncarnation: 0, suspectedBy: [],
	});
	announce(ownUpdate());

	return {
		setHostList(hosts) {
			listedHosts = new Map(hosts.map(host => [host.hostId, host]));
			listVersion++;
		},
		setEntryState(state, entryIncarnation, nowMs) {
			updateOwn({entryState: state, entryIncarnation});
			sendGossip(nowMs);
			return flushOutbox();
		},
		leave(nowMs) {
			updateOwn({status: 'left', entryState: 'down'});
			sendGossip(nowMs);
			return flushOutbox();
		},
		ping(hostId) {
			const member = table.get(hostId);
			if (member !== undefined) {
				sendPing(member.host, noProbe);
			}

			return flushOutbox();
		},
		receive(from, message, nowMs) {
			detectPause(nowMs);
			contacts.record(from.hostId, nowMs);
			applyUpdates(message, nowMs);
			introduceTo(from, nowMs);
			handle(from, message, nowMs);
			return flushOutbox();
		},
		tick(nowMs) {
			detectPause(nowMs);
			if (!isTrusted && nowMs >= trustedFromMs) {
				markTrusted(nowMs);
			}

			advanceProbes(nowMs);
			advanceSuspicions(nowMs);
			if (ownUpdate().status === 'alive') {
				startProbes(nowMs);
				contactListed(nowMs);
				startComparison(nowMs);
			}

			sendGossip(nowMs);
			forgetDead(nowMs);
			return flushOutbox();
		},
		members: () => [...table.all()].map(update => viewOf(update)),
		isTrusted(nowMs) {
			detectPause(nowMs);
			return isTrusted;
		},
		version: () => table.version() + listVersion,
		counters: () => ({...counters}),
	};
};
