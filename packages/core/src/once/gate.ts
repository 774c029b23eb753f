/**
 * Decides what becomes of an at-most-once request that carries an idempotency key.
 *
 * An issued key is run only by the entry process that it names, and is remembered there for as long as it is valid; both
 * ends of that time are read from the key and compared with the clock of that process alone. A plain key is run only by
 * the entry host that ranks first for it. Every doubt ends in a refusal that says what is known.
 */

import {createRefusal} from '../errors/answers.ts';
import type {ErrorKind, Refusal, RunOutcome} from '../errors/types.ts';
import type {FleetMember} from '../messages/types.ts';
import {resolveAtMostOnceConfig} from './config.ts';
import {formatKeyPrefix} from './key.ts';
import {createKeyMemory, type KeyRecord} from './memory.ts';
import {createKeyOwners} from './owners.ts';
import type {
	IssuedKey, AtMostOnceDecision, AtMostOnceOptions, AtMostOnceOutcome, AtMostOnceRequest, AtMostOnceTicket, SendMark, WriteDecision,
} from './types.ts';

/** The entry process that a gate decides for. */
export type GateSelf = {
	readonly hostId: string;
	/** Differs between any two processes of the host, the later one being higher. */
	readonly incarnation: number;
	readonly startedAtMs: number;
};

/** Decisions and memory of one entry process. */
export type AtMostOnceGate = {
	/** What to do with `request`, read at `nowMs`. */
	readonly decide: (request: AtMostOnceRequest, nowMs: number) => AtMostOnceDecision;
	/** Must be asked immediately before the first byte is written; a refused ticket is settled as not run. */
	readonly confirmWrite: (ticket: AtMostOnceTicket, nowMs: number) => WriteDecision;
	/** The backend server said that it did not run what was written: it may be written once more. */
	readonly reopen: (ticket: AtMostOnceTicket) => void;
	/** Reports how a permitted run ended; each ticket once. */
	readonly settle: (ticket: AtMostOnceTicket, outcome: AtMostOnceOutcome) => void;
	/** What a copy that waited for `id` is answered with, once that run was settled. */
	readonly decideAfterWait: (id: string) => AtMostOnceDecision;
	/** Remembers the digest of the body that ran. */
	readonly recordBodyDigest: (id: string, bodyDigest: string) => void;
	/** False when the body that ran is known to differ. */
	readonly matchesBodyDigest: (id: string, bodyDigest: string) => boolean;
	/** The refusal when the owner could not be asked, `request` with the mark of the decision; `written` tells whether any byte may have reached it. */
	readonly createOwnerUnreachableRefusal: (request: AtMostOnceRequest, written: boolean, nowMs: number) => Refusal;
	/** What may be said of a request that is refused before its key was looked up. */
	readonly runOutcomeBeforeLookup: (request: Pick<AtMostOnceRequest, 'mark'>, ran: RunOutcome, nowMs: number) => RunOutcome;
	/** Prefix of the keys issued now, and their lifetime. */
	readonly issue: (lifetimeMs: number, nowMs: number) => {readonly keyPrefix: string; readonly lifetimeMs: number};
	/** Takes in the members as the fleet sees them. */
	readonly updateMembers: (members: readonly FleetMember[], nowMs: number) => void;
	/** To be called a few times within the tolerated pause, so that a longer pause is noticed. */
	readonly tick: (nowMs: number) => void;
	/** Remembered keys and the bytes counted for them. */
	readonly usage: () => {readonly keys: number; readonly bytes: number};
};

const idOf = (request: AtMostOnceRequest): string => `${request.workspace} ${request.key.text}`;

const refuse = (kind: ErrorKind, ran?: RunOutcome): AtMostOnceDecision => ({type: 'refuse', refusal: createRefusal(kind, ran)});

const recallRecord = (record: KeyRecord): AtMostOnceDecision => {
	const {id, state} = record;
	switch (state.type) {
		case 'pending':
		case 'written': {
			return {type: 'wait', id};
		}

		case 'ran': {
			return state.answer ? {type: 'replay', id, answer: state.answer} : refuse('answer-not-kept');
		}

		case 'unknown': {
			return refuse('outcome-unknown');
		}
	}
};

/** Creates the gate of one entry process. */
export const createAtMostOnceGate = (self: GateSelf, options: AtMostOnceOptions = {}): AtMostOnceGate => {
	const config = resolveAtMostOnceConfig(options);
	const plainWindowMs = config.maxLifetimeMs + config.plainMarginMs;
	const memory = createKeyMemory(config);
	const owners = createKeyOwners(self, plainWindowMs);
	let lastBeatMs = self.startedAtMs;
	let doubtUntilMs = Number.NEGATIVE_INFINITY;
	let markDoubtUntilMs = Number.NEGATIVE_INFINITY;

	const beat = (nowMs: number): void => {
		if (nowMs - lastBeatMs > config.pauseToleranceMs) {
			doubtUntilMs = nowMs + config.doubtMs;
		}

		if (nowMs - lastBeatMs > config.markToleranceMs) {
			markDoubtUntilMs = nowMs + config.doubtMs;
		}

		lastBeatMs = nowMs;
	};

	/** True while requests may be read that arrived long ago, during a pause. */
	const inDoubt = (nowMs: number): boolean => {
		beat(nowMs);
		return nowMs < doubtUntilMs;
	};

	/** A first send has not run before, unless it lay unread during a pause or its caller may have sent again by now. */
	const ranBefore = ({mark, deadlineMs}: Pick<AtMostOnceRequest, 'mark' | 'deadlineMs'>, nowMs: number): RunOutcome => {
		beat(nowMs);
		return mark === 'first' && nowMs < deadlineMs && nowMs >= markDoubtUntilMs ? 'not-run' : 'unknown';
	};

	/** The mark that another entry may rely on. */
	const passedMark = (request: AtMostOnceRequest, nowMs: number): SendMark =>
		request.mark === 'first' && ranBefore(request, nowMs) === 'unknown' ? 'unmarked' : request.mark;

	const admit = (request: AtMostOnceRequest, expiresAtMs: number): AtMostOnceDecision => {
		const id = idOf(request);
		const added = memory.add({
			id, workspace: request.workspace, fingerprint: request.fingerprint, expiresAtMs, state: {type: 'pending'},
		});
		if (!added) {
			return refuse('key-memory-full');
		}

		const writeUntilMs = Math.min(request.deadlineMs, expiresAtMs);
		return {type: 'run', ticket: {id, incarnation: self.incarnation, writeUntilMs}};
	};

	const decideOwnIssued = (request: AtMostOnceRequest, key: IssuedKey, nowMs: number): AtMostOnceDecision => {
		if (key.lifetimeMs > config.maxLifetimeMs || key.issuedAtMs > nowMs + config.issueAheadMs) {
			return refuse('key-malformed');
		}

		const expiresAtMs = key.issuedAtMs + key.lifetimeMs;
		if (nowMs >= expiresAtMs) {
			return refuse('key-expired', ranBefore(request, nowMs));
		}

		return admit(request, expiresAtMs);
	};

	const decideForeignIssued = (request: AtMostOnceRequest, key: IssuedKey, nowMs: number): AtMostOnceDecision => {
		const known = owners.byHostId(key.hostId);
		if (known && known.incarnation > key.incarnation) {
			return refuse('key-owner-gone', ranBefore(request, nowMs));
		}

		if (request.forwarded || !known || key.hostId === self.hostId) {
			return refuse('key-owner-unreachable', ranBefore(request, nowMs));
		}

		return {type: 'forward', owner: {hostId: key.hostId, incarnation: key.incarnation}, mark: passedMark(request, nowMs)};
	};

	const isSuperseded = (): boolean => (owners.byHostId(self.hostId)?.incarnation ?? 0) > self.incarnation;

	/** True when the other entries have had time to hear of this process. */
	const isKnownOwner = (nowMs: number): boolean => owners.isListed() && !isSuperseded() && nowMs - self.startedAtMs > config.ownerSettleMs;

	/** True when an unmarked plain key can't have run on another process that ranked first within its lifetime. */
	const isSettledOwner = (lifetimeMs: number, nowMs: number): boolean => nowMs - self.startedAtMs > lifetimeMs + config.plainMarginMs;

	const decideOwnPlain = (request: AtMostOnceRequest, nowMs: number): AtMostOnceDecision => {
		const lifetimeMs = Math.min(request.lifetimeMs, config.maxLifetimeMs);
		if (!isKnownOwner(nowMs) || inDoubt(nowMs)) {
			return refuse('key-owner-unreachable', ranBefore(request, nowMs));
		}

		// A resend of a key that is not remembered here never starts a run: some copy of it was sent before.
		const mayRun = request.mark === 'first' || (request.mark === 'unmarked' && isSettledOwner(lifetimeMs, nowMs));
		if (!mayRun) {
			return refuse('key-owner-unreachable');
		}

		return admit(request, nowMs + lifetimeMs + config.plainMarginMs);
	};

	const decidePlain = (request: AtMostOnceRequest, nowMs: number): AtMostOnceDecision => {
		const owner = owners.ownerOf(request.key.text, nowMs);
		if (owner.hostId === self.hostId) {
			return decideOwnPlain(request, nowMs);
		}

		if (request.forwarded || owner.goneAtMs !== undefined || inDoubt(nowMs)) {
			return refuse('key-owner-unreachable', ranBefore(request, nowMs));
		}

		return {type: 'forward', owner: {hostId: owner.hostId}, mark: passedMark(request, nowMs)};
	};

	const decideNew = (request: AtMostOnceRequest, nowMs: number): AtMostOnceDecision => {
		const {key} = request;
		if (key.type === 'plain') {
			return decidePlain(request, nowMs);
		}

		const isOwn = key.hostId === self.hostId && key.incarnation === self.incarnation;
		return isOwn ? decideOwnIssued(request, key, nowMs) : decideForeignIssued(request, key, nowMs);
	};

	return {
		decide(request, nowMs) {
			beat(nowMs);
			memory.purge(nowMs);
			const record = memory.get(idOf(request));
			if (!record) {
				return decideNew(request, nowMs);
			}

			return record.fingerprint === request.fingerprint ? recallRecord(record) : refuse('key-mismatch');
		},
		confirmWrite(ticket, nowMs) {
			const record = memory.get(ticket.id);
			const isHeld = record?.state.type === 'pending' && ticket.incarnation === self.incarnation;
			if (!isHeld || nowMs >= ticket.writeUntilMs) {
				return {type: 'refuse', refusal: createRefusal('deadline-expired')};
			}

			memory.update(ticket.id, {state: {type: 'written'}});
			return {type: 'write'};
		},
		reopen(ticket) {
			memory.update(ticket.id, {state: {type: 'pending'}});
		},
		settle(ticket, outcome) {
			if (outcome.type === 'not-run') {
				memory.remove(ticket.id);
				return;
			}

			memory.update(ticket.id, {state: outcome});
		},
		decideAfterWait(id) {
			const record = memory.get(id);
			return record ? recallRecord(record) : refuse('outcome-unknown');
		},
		recordBodyDigest(id, bodyDigest) {
			memory.update(id, {bodyDigest});
		},
		matchesBodyDigest(id, bodyDigest) {
			const ranDigest = memory.get(id)?.bodyDigest;
			return ranDigest === undefined || ranDigest === bodyDigest;
		},
		createOwnerUnreachableRefusal(request, written, nowMs) {
			return createRefusal('key-owner-unreachable', written ? 'unknown' : ranBefore(request, nowMs));
		},
		runOutcomeBeforeLookup: ({mark}, ran, nowMs) => ran === 'not-run' ? ranBefore({mark, deadlineMs: Number.POSITIVE_INFINITY}, nowMs) : ran,
		issue(lifetimeMs, nowMs) {
			const boundedMs = Math.floor(Math.min(lifetimeMs, config.maxLifetimeMs));
			const keyPrefix = formatKeyPrefix({...self, issuedAtMs: nowMs, lifetimeMs: boundedMs});
			return {keyPrefix, lifetimeMs: boundedMs};
		},
		updateMembers: owners.update,
		tick: beat,
		usage: memory.usage,
	};
};
