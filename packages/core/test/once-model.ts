/**
 * A model of several entries, the network between them and one caller, for property tests of the gate.
 *
 * It counts the runs of each key as an omniscient observer and collects every violated guarantee.
 */

import {
	createAtMostOnceGate, parseKey, type FleetMember, type AtMostOnceDecision, type AtMostOnceGate, type AtMostOnceOptions, type AtMostOnceRequest,
	type AtMostOnceTicket, type RunOutcome, type SendMark,
} from '../src/index.ts';

/** A fault that is built into the model, such as a disabled mechanism. */
export type Mutation = 'no-owner' | 'no-key-store' | 'no-incarnation' | 'no-write-check' | 'no-distrust' | 'no-settling' | 'wrong-refusal' | 'trust-every-mark';

/** One step of a run of the model; indexes are taken modulo the number of items. */
export type Step
	= | {
		readonly op: 'send'; readonly key: number; readonly entries: readonly number[]; readonly mark: SendMark; readonly deadlineMs: number;
	}
	| {readonly op: 'progress'; readonly entry: number; readonly ticket: number; readonly result: 'ran' | 'lost' | 'not-run'}
	| {readonly op: 'pause' | 'resume' | 'kill' | 'start' | 'gossip'; readonly entry: number}
	| {readonly op: 'cut'; readonly from: number; readonly to: number}
	| {readonly op: 'heal'}
	| {readonly op: 'advance'; readonly durationMs: number};

type Key = {
	readonly index: number;
	readonly isIssued: boolean;
	readonly text: string;
	readonly firstSentMs: number;
	/** Time until which a copy marked as the first one may still be answered. */
	firstSendOpenUntilMs: number;
	runs: number;
};

type Copy = {
	readonly key: Key;
	readonly mark: SendMark;
	readonly deadlineMs: number;
	readonly isForwarded: boolean;
};

type Run = {
	readonly ticket: AtMostOnceTicket;
	readonly key: Key;
	readonly copies: Copy[];
	isWritten: boolean;
};

type Entry = {
	readonly hostId: string;
	readonly clockOffsetMs: number;
	incarnation: number;
	gate: AtMostOnceGate;
	runs: Run[];
	isAlive: boolean;
	isPaused: boolean;
	inbox: Copy[];
};

const entryCount = 3;
const stepMs = 1000;
/** How long after its deadline a copy marked as the first one may still be answered. */
const firstSendGraceMs = 2000;
const lifetimeMs = 60_000;
const startMs = 1_000_000;
const options: AtMostOnceOptions = {
	maxLifetimeMs: lifetimeMs, plainMarginMs: 60_000, maxKeys: 2, workspaceShare: 1,
};

/** Runs `steps`; `violations` is empty when every guarantee held. */
export const runModel = (steps: readonly Step[], keyKinds: readonly boolean[], mutation?: Mutation): {
	readonly violations: readonly string[];
	readonly answers: Readonly<Record<string, number>>;
} => {
	let nowMs = startMs;
	let brokenLinks = new Set<string>();
	const keys = new Map<number, Key>();
	const violations: string[] = [];
	const answers: Record<string, number> = {};

	const clockOf = (entry: Entry): number => nowMs + entry.clockOffsetMs;

	const createGate = (hostId: string, incarnation: number, startedAtMs: number): AtMostOnceGate => createAtMostOnceGate(
		{hostId, incarnation, startedAtMs},
		{
			...options,
			...(mutation === 'no-distrust' && {pauseToleranceMs: Number.POSITIVE_INFINITY}),
		},
	);

	const entries: Entry[] = Array.from({length: entryCount}, (_, index) => {
		const hostId = `host-${index}`;
		const clockOffsetMs = index * 12_345_678;
		return {
			hostId, clockOffsetMs, incarnation: 1, gate: createGate(hostId, 1, clockOffsetMs), runs: [], isAlive: true, isPaused: false, inbox: [],
		};
	});

	const pick = (index: number): Entry => entries[index % entryCount]!;

	const updateMembers = (entry: Entry): void => {
		const members = entries.map((other): FleetMember => ({
			host: {
				role: 'entry', hostId: other.hostId, address: '127.0.0.1', region: 'r', dataCentre: 'd', state: 'live', entryPort: 1, locatePort: 2, peerPort: 3,
			},
			incarnation: other.incarnation,
			usable: other.isAlive,
		}));
		entry.gate.updateMembers(members, clockOf(entry));
	};

	const recordAnswer = (copy: Copy, ran: RunOutcome, kind: string): void => {
		answers[kind] = (answers[kind] ?? 0) + 1;
		if (copy.mark === 'first') {
			copy.key.firstSendOpenUntilMs = nowMs;
		}

		if (ran === 'not-run' && copy.key.runs > 0) {
			violations.push(`${kind} reports not-run for key ${copy.key.index}, which ran`);
		}

		if (ran === 'ran' && copy.key.runs === 0) {
			violations.push(`${kind} reports ran for key ${copy.key.index}, which did not run`);
		}
	};

	const recordDecision = (copy: Copy, decision: AtMostOnceDecision): void => {
		if (decision.type === 'replay') {
			recordAnswer(copy, 'ran', 'replay');
		} else if (decision.type === 'refuse') {
			const {kind, ran} = decision.refusal;
			recordAnswer(copy, mutation === 'wrong-refusal' && kind === 'key-owner-unreachable' ? 'not-run' : ran, kind);
		}
	};

	const requestOf = (entry: Entry, copy: Copy): AtMostOnceRequest => ({
		key: parseKey(copy.key.text).unwrap(),
		workspace: 'w',
		fingerprint: 'POST /seats',
		mark: copy.mark,
		isForwarded: copy.isForwarded,
		deadlineMs: clockOf(entry) + copy.deadlineMs,
		lifetimeMs,
	});

	const runLocally = (entry: Entry, copy: Copy): void => {
		const ticket = {id: `local ${copy.key.text}`, incarnation: entry.incarnation, writeUntilMs: Number.POSITIVE_INFINITY};
		entry.runs.push({
			ticket, key: copy.key, copies: [copy], isWritten: false,
		});
	};

	const receive = (entry: Entry, copy: Copy): void => {
		if (!entry.isAlive) {
			return;
		}

		if (entry.isPaused) {
			entry.inbox.push(copy);
			return;
		}

		const request = requestOf(entry, copy);
		const decision = entry.gate.decide(request, clockOf(entry));
		switch (decision.type) {
			case 'run': {
				entry.runs.push({
					ticket: decision.ticket, key: copy.key, copies: [copy], isWritten: false,
				});
				break;
			}

			case 'wait': {
				entry.runs.find(run => run.ticket.id === decision.id)?.copies.push(copy);
				break;
			}

			case 'forward': {
				const forwardedMark = mutation === 'trust-every-mark' ? copy.mark : decision.mark;
				const owner = entries.find(other => other.hostId === decision.owner.hostId)!;
				if (mutation === 'no-owner') {
					runLocally(entry, copy);
				} else if (!owner.isAlive || brokenLinks.has(`${entry.hostId} ${owner.hostId}`)) {
					const refusal = entry.gate.createOwnerUnreachableRefusal({...request, mark: forwardedMark}, false, clockOf(entry));
					recordDecision(copy, {type: 'refuse', refusal});
				} else {
					receive(owner, {...copy, mark: forwardedMark, isForwarded: true});
				}

				break;
			}

			case 'replay':
			case 'refuse': {
				recordDecision(copy, decision);
				break;
			}
		}
	};

	const end = (entry: Entry, run: Run): void => {
		entry.runs = entry.runs.filter(other => other !== run);
	};

	const write = (entry: Entry, run: Run): void => {
		const decision = entry.gate.confirmWrite(run.ticket, clockOf(entry));
		if (decision.type === 'refuse' && mutation !== 'no-write-check' && !run.ticket.id.startsWith('local ')) {
			end(entry, run);
			entry.gate.settle(run.ticket, {type: 'not-run'});
			for (const copy of run.copies) {
				recordDecision(copy, decision);
			}

			return;
		}

		run.isWritten = true;
		run.key.runs++;
		if (run.key.runs > 1) {
			violations.push(`key ${run.key.index} ran ${run.key.runs} times`);
		}

		if (clockOf(entry) >= run.ticket.writeUntilMs) {
			violations.push(`key ${run.key.index} ran after its write deadline`);
		}
	};

	const finish = (entry: Entry, run: Run, result: 'ran' | 'lost' | 'not-run'): void => {
		end(entry, run);
		if (result === 'not-run') {
			run.key.runs--;
			entry.gate.settle(run.ticket, {type: 'not-run'});
		} else if (result === 'lost') {
			entry.gate.settle(run.ticket, {type: 'unknown'});
		} else {
			entry.gate.settle(run.ticket, {type: 'ran', answer: {statusCode: 200, headers: [], body: new Uint8Array()}});
		}

		for (const copy of run.copies) {
			recordAnswer(copy, result === 'lost' ? 'unknown' : result, `backend ${result}`);
		}
	};

	const send = (step: Step & {op: 'send'}): void => {
		const index = step.key % keyKinds.length;
		let key = keys.get(index);
		const isNew = key === undefined;
		const isIssued = keyKinds[index]!;
		if (!key) {
			const issuer = entries[index % entryCount]!;
			const text = isIssued ? `${issuer.gate.issue(lifetimeMs, clockOf(issuer)).keyPrefix}k${index}` : `plain-${index}`;
			key = {
				index, isIssued, text, firstSentMs: nowMs, firstSendOpenUntilMs: 0, runs: 0,
			};
			keys.set(index, key);
		}

		const isFirst = isNew && step.mark === 'first';
		const mark = !isFirst && step.mark === 'first' ? 'unmarked' : step.mark;
		// Required of callers: a single copy marked as first, and no plain key after its lifetime.
		const isTooLate = !isIssued && nowMs - key.firstSentMs >= lifetimeMs;
		if (nowMs < key.firstSendOpenUntilMs || isTooLate) {
			return;
		}

		if (isFirst) {
			key.firstSendOpenUntilMs = nowMs + step.deadlineMs + firstSendGraceMs;
		}

		for (const entry of isFirst ? step.entries.slice(0, 1) : step.entries) {
			receive(pick(entry), {
				key, mark, deadlineMs: step.deadlineMs, isForwarded: false,
			});
		}
	};

	const advance = (durationMs: number): void => {
		const untilMs = nowMs + durationMs;
		while (nowMs < untilMs) {
			nowMs = Math.min(untilMs, nowMs + stepMs);
			for (const entry of entries) {
				if (entry.isAlive && !entry.isPaused) {
					entry.gate.tick(clockOf(entry));
				}
			}
		}

		if (mutation === 'no-key-store') {
			for (const entry of entries) {
				entry.gate = createGate(entry.hostId, entry.incarnation, entry.clockOffsetMs);
				updateMembers(entry);
			}
		}
	};

	const resume = (entry: Entry): void => {
		const {inbox} = entry;
		entry.isPaused = false;
		entry.inbox = [];
		for (const copy of inbox) {
			receive(entry, copy);
		}
	};

	const kill = (entry: Entry): void => {
		entry.isAlive = false;
		entry.isPaused = false;
		entry.runs = [];
		entry.inbox = [];
	};

	const start = (entry: Entry): void => {
		if (entry.isAlive) {
			return;
		}

		entry.isAlive = true;
		entry.incarnation += mutation === 'no-incarnation' ? 0 : 1;
		const startedAtMs = mutation === 'no-settling' ? entry.clockOffsetMs : clockOf(entry);
		entry.gate = createGate(entry.hostId, entry.incarnation, startedAtMs);
		updateMembers(entry);
	};

	const progress = (step: Step & {op: 'progress'}): void => {
		const entry = pick(step.entry);
		const run = entry.runs[step.ticket % Math.max(1, entry.runs.length)];
		if (!run || entry.isPaused) {
			return;
		}

		if (run.isWritten) {
			finish(entry, run, step.result);
		} else {
			write(entry, run);
		}
	};

	const apply = (step: Step): void => {
		switch (step.op) {
			case 'send': {
				send(step);
				break;
			}

			case 'progress': {
				progress(step);
				break;
			}

			case 'pause': {
				pick(step.entry).isPaused = pick(step.entry).isAlive;
				break;
			}

			case 'resume': {
				resume(pick(step.entry));
				break;
			}

			case 'kill': {
				kill(pick(step.entry));
				break;
			}

			case 'start': {
				start(pick(step.entry));
				break;
			}

			case 'gossip': {
				updateMembers(pick(step.entry));
				break;
			}

			case 'cut': {
				brokenLinks.add(`${pick(step.from).hostId} ${pick(step.to).hostId}`);
				break;
			}

			case 'heal': {
				brokenLinks = new Set();
				break;
			}

			case 'advance': {
				advance(step.durationMs);
				break;
			}
		}
	};

	for (const entry of entries) {
		updateMembers(entry);
		entry.gate.tick(clockOf(entry));
	}

	advance(2 * stepMs);
	for (const step of steps) {
		apply(step);
	}

	return {violations, answers};
};
