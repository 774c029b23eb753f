/**
 * Decides how to handle an at-most-once request that carries an idempotency key.
 *
 * An issued key is run only by the entry process that it names, which stores it for as long as it is valid; both ends of
 * that time are part of the key and are compared with the clock of that process alone. A plain key is run only by the
 * entry host that ranks first for it. Whenever it is unclear whether a run is safe, the request is refused, and the
 * refusal states what is known of the run.
 */

import {createRefusal} from '../errors/answers.ts';
import type {ErrorKind, Refusal, RunOutcome} from '../errors/types.ts';
import type {FleetMember} from '../messages/types.ts';
import {resolveAtMostOnceConfig} from './config.ts';
import {formatKeyPrefix} from './key.ts';
import {createKeyStore, type KeyRecord} from './key-store.ts';
import {createKeyOwners} from './owners.ts';
import type {
	IssuedKey, AtMostOnceDecision, AtMostOnceOptions, AtMostOnceOutcome, AtMostOnceRequest, AtMostOnceTicket, SendMark, WriteDecision,
} from './types.ts';

/** The entry process that a gate decides for. */
export type GateSelf = {
	readonly hostId: string;
	/** Unique for each process of the host; higher for later ones. */
	readonly incarnation: number;
	readonly startedAtMs: number;
};

/** At-most-once decisions and stored keys of one entry process. */
export type AtMostOnceGate = {
	/** Decides how to handle `request`, which was read at `nowMs`. */
	readonly decide: (request: AtMostOnceRequest, nowMs: number) => AtMostOnceDecision;
	/** Must be called immediately before the first byte is written; a refused ticket must be settled as not run. */
	readonly confirmWrite: (ticket: AtMostOnceTicket, nowMs: number) => WriteDecision;
	/** Allows one more write, after the backend server answered that it did not run the request. */
	readonly reopen: (ticket: AtMostOnceTicket) => void;
	/** Records how a permitted run ended; to be called once per ticket. */
	readonly settle: (ticket: AtMostOnceTicket, outcome: AtMostOnceOutcome) => void;
	/** Decides how to answer a copy that waited for `id`, once that run is settled. */
	readonly decideAfterWait: (id: string) => AtMostOnceDecision;
	/** Records the digest of the body that ran. */
	readonly recordBodyDigest: (id: string, bodyDigest: string) => void;
	/** False when the body that ran is known to differ. */
	readonly matchesBodyDigest: (id: string, bodyDigest: string) => boolean;
	/**
	 * Creates the refusal of a request whose owner could not be reached.
	 *
	 * `request` carries the mark of the forward decision; `written` is true if any byte may have reached the owner.
	 */
	readonly createOwnerUnreachableRefusal: (request: AtMostOnceRequest, written: boolean, nowMs: number) => Refusal;
	/** The run outcome to report for a request that is refused before its key was looked up. */
	readonly runOutcomeBeforeLookup: (request: Pick<AtMostOnceRequest, 'mark'>, ran: RunOutcome, nowMs: number) => RunOutcome;
	/** Returns the prefix of keys issued at `nowMs`, and their lifetime. */
	readonly issue: (lifetimeMs: number, nowMs: number) => {readonly keyPrefix: string; readonly lifetimeMs: number};
	/** Applies the current list of fleet members. */
	readonly updateMembers: (members: readonly FleetMember[], nowMs: number) => void;
	/** Detects pauses of the process; to be called several times within the tolerated pause. */
	readonly tick: (nowMs: number) => void;
	/** Number of stored keys and the bytes counted for them. */
	readonly usage: () => {readonly keys: number; readonly bytes: number};
};

const idOf = (request: AtMostOnceRequest): string => `${request.workspace} ${request.key.text}`;

const refuse = (kind: ErrorKind, ran?: RunOutcome): AtMostOnceDecision => ({type: 'refuse', refusal: createRefusal(kind, ran)});

const decideKnown = (record: KeyRecord): AtMostOnceDecision => {
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
	const keyStore = createKeyStore(config);
	const owners = createKeyOwners(self, plainWindowMs);
	let lastTickMs = self.startedAtMs;
	let arrivalsDistrustedUntilMs = Number.NEGATIVE_INFINITY;
	let marksDistrustedUntilMs = Number.NEGATIVE_INFINITY;

	const tick = (nowMs: number): void => {
		if (nowMs - lastTickMs > config.pauseToleranceMs) {
			arrivalsDistrustedUntilMs = nowMs + config.distrustMs;
		}

		if (nowMs - lastTickMs > config.markToleranceMs) {
			marksDistrustedUntilMs = nowMs + config.distrustMs;
		}

		lastTickMs = nowMs;
	};

	/** True while requests that are read may have arrived long ago, during a pause. */
	const areArrivalsDistrusted = (nowMs: number): boolean => {
		tick(nowMs);
		return nowMs < arrivalsDistrustedUntilMs;
	};

	/** A first send has not run before, unless it stayed unread during a pause or its caller may have resent it by now. */
	const priorRunOutcome = ({mark, deadlineMs}: Pick<AtMostOnceRequest, 'mark' | 'deadlineMs'>, nowMs: number): RunOutcome => {
		tick(nowMs);
		return mark === 'first' && nowMs < deadlineMs && nowMs >= marksDistrustedUntilMs ? 'not-run' : 'unknown';
	};

	/** The mark to forward; a first send whose mark is not reliable is forwarded as unmarked. */
	const trustedMark = (request: AtMostOnceRequest, nowMs: number): SendMark =>
		request.mark === 'first' && priorRunOutcome(request, nowMs) === 'unknown' ? 'unmarked' : request.mark;

	const admit = (request: AtMostOnceRequest, expiresAtMs: number): AtMostOnceDecision => {
		const id = idOf(request);
		const added = keyStore.add({
			id, workspace: request.workspace, fingerprint: request.fingerprint, expiresAtMs, state: {type: 'pending'},
		});
		if (!added) {
			return refuse('key-memory-full');
		}

		const writeUntilMs = Math.min(request.deadlineMs, expiresAtMs);
		return {type: 'run', ticket: {id, incarnation: self.incarnation, writeUntilMs}};
	};

	const decideOwnIssued = (request: AtMostOnceRequest, key: IssuedKey, nowMs: number): AtMostOnceDecision => {
		if (key.lifetimeMs > config.maxLifetimeMs || key.issuedAtMs > nowMs + config.maxIssueAheadMs) {
			return refuse('key-malformed');
		}

		const expiresAtMs = key.issuedAtMs + key.lifetimeMs;
		if (nowMs >= expiresAtMs) {
			return refuse('key-expired', priorRunOutcome(request, nowMs));
		}

		return admit(request, expiresAtMs);
	};

	const decideForeignIssued = (request: AtMostOnceRequest, key: IssuedKey, nowMs: number): AtMostOnceDecision => {
		const known = owners.byHostId(key.hostId);
		if (known && known.incarnation > key.incarnation) {
			return refuse('key-owner-gone', priorRunOutcome(request, nowMs));
		}

		if (request.isForwarded || !known || key.hostId === self.hostId) {
			return refuse('key-owner-unreachable', priorRunOutcome(request, nowMs));
		}

		return {type: 'forward', owner: {hostId: key.hostId, incarnation: key.incarnation}, mark: trustedMark(request, nowMs)};
	};

	const isSuperseded = (): boolean => (owners.byHostId(self.hostId)?.incarnation ?? 0) > self.incarnation;

	/** True once the other entries have had time to learn of this process. */
	const isAnnouncedOwner = (nowMs: number): boolean => owners.isListed() && !isSuperseded() && nowMs - self.startedAtMs > config.ownerSettleMs;

	/** True once an unmarked plain key can't have run within its lifetime on another process that ranked first. */
	const isLongTermOwner = (lifetimeMs: number, nowMs: number): boolean => nowMs - self.startedAtMs > lifetimeMs + config.plainMarginMs;

	const decideOwnPlain = (request: AtMostOnceRequest, nowMs: number): AtMostOnceDecision => {
		const lifetimeMs = Math.min(request.lifetimeMs, config.maxLifetimeMs);
		if (!isAnnouncedOwner(nowMs) || areArrivalsDistrusted(nowMs)) {
			return refuse('key-owner-unreachable', priorRunOutcome(request, nowMs));
		}

		// A resend of a key that is not stored here never starts a run: an earlier copy was sent and may have run.
		const mayRun = request.mark === 'first' || (request.mark === 'unmarked' && isLongTermOwner(lifetimeMs, nowMs));
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

		if (request.isForwarded || owner.goneAtMs !== undefined || areArrivalsDistrusted(nowMs)) {
			return refuse('key-owner-unreachable', priorRunOutcome(request, nowMs));
		}

		return {type: 'forward', owner: {hostId: owner.hostId}, mark: trustedMark(request, nowMs)};
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
			tick(nowMs);
			keyStore.purge(nowMs);
			const record = keyStore.get(idOf(request));
			if (!record) {
				return decideNew(request, nowMs);
			}

			return record.fingerprint === request.fingerprint ? decideKnown(record) : refuse('key-mismatch');
		},
		confirmWrite(ticket, nowMs) {
			const record = keyStore.get(ticket.id);
			const isHeld = record?.state.type === 'pending' && ticket.incarnation === self.incarnation;
			if (!isHeld || nowMs >= ticket.writeUntilMs) {
				return {type: 'refuse', refusal: createRefusal('deadline-expired')};
			}

			keyStore.update(ticket.id, {state: {type: 'written'}});
			return {type: 'write'};
		},
		reopen(ticket) {
			keyStore.update(ticket.id, {state: {type: 'pending'}});
		},
		settle(ticket, outcome) {
			if (outcome.type === 'not-run') {
				keyStore.remove(ticket.id);
				return;
			}

			keyStore.update(ticket.id, {state: outcome});
		},
		decideAfterWait(id) {
			const record = keyStore.get(id);
			return record ? decideKnown(record) : refuse('outcome-unknown');
		},
		recordBodyDigest(id, bodyDigest) {
			keyStore.update(id, {bodyDigest});
		},
		matchesBodyDigest(id, bodyDigest) {
			const ranDigest = keyStore.get(id)?.bodyDigest;
			return ranDigest === undefined || ranDigest === bodyDigest;
		},
		createOwnerUnreachableRefusal(request, written, nowMs) {
			return createRefusal('key-owner-unreachable', written ? 'unknown' : priorRunOutcome(request, nowMs));
		},
		runOutcomeBeforeLookup: ({mark}, ran, nowMs) => ran === 'not-run' ? priorRunOutcome({mark, deadlineMs: Number.POSITIVE_INFINITY}, nowMs) : ran,
		issue(lifetimeMs, nowMs) {
			const boundedMs = Math.floor(Math.min(lifetimeMs, config.maxLifetimeMs));
			const keyPrefix = formatKeyPrefix({...self, issuedAtMs: nowMs, lifetimeMs: boundedMs});
			return {keyPrefix, lifetimeMs: boundedMs};
		},
		updateMembers: owners.update,
		tick,
		usage: keyStore.usage,
	};
};
