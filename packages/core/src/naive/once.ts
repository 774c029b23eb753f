/**
 * Naive reference for idempotency keys.
 *
 * The ledger is what an all-knowing observer would answer: one unbounded list that never forgets, searched from its
 * start.
 */

import {createRefusal} from '../errors/answers.ts';
import type {
	AtMostOnceDecision, AtMostOnceOutcome, AtMostOnceRequest, AtMostOnceTicket,
} from '../once/types.ts';

type LedgerLine = {
	readonly id: string;
	readonly fingerprint: string;
	outcome: AtMostOnceOutcome | undefined;
};

/** The part of a gate that the references offer. */
export type NaiveGate = {
	readonly decide: (request: AtMostOnceRequest, nowMs: number) => AtMostOnceDecision;
	readonly settle: (ticket: AtMostOnceTicket, outcome: AtMostOnceOutcome) => void;
};

const decideAgain = (line: LedgerLine): AtMostOnceDecision => {
	switch (line.outcome?.type) {
		case undefined: {
			return {type: 'wait', id: line.id};
		}

		case 'ran': {
			return line.outcome.answer
				? {type: 'replay', id: line.id, answer: line.outcome.answer}
				: {type: 'refuse', refusal: createRefusal('answer-not-kept')};
		}

		case 'unknown':
		case 'not-run': {
			return {type: 'refuse', refusal: createRefusal('outcome-unknown')};
		}
	}
};

/** Creates a ledger of every run since the start; a key that did not run is struck off. */
export const createNaiveLedger = (): NaiveGate => {
	let lines: readonly LedgerLine[] = [];
	return {
		decide(request, nowMs) {
			const id = `${request.workspace} ${request.key.text}`;
			const line = lines.find(candidate => candidate.id === id);
			if (line) {
				return line.fingerprint === request.fingerprint
					? decideAgain(line)
					: {type: 'refuse', refusal: createRefusal('key-mismatch')};
			}

			if (request.key.type === 'issued' && nowMs >= request.key.issuedAtMs + request.key.lifetimeMs) {
				return {type: 'refuse', refusal: createRefusal('key-expired')};
			}

			lines = [...lines, {id, fingerprint: request.fingerprint, outcome: undefined}];
			return {type: 'run', ticket: {id, incarnation: 0, writeUntilMs: request.deadlineMs}};
		},
		settle(ticket, outcome) {
			if (outcome.type === 'not-run') {
				lines = lines.filter(line => line.id !== ticket.id);
				return;
			}

			for (const line of lines.filter(candidate => candidate.id === ticket.id)) {
				line.outcome = outcome;
			}
		},
	};
};
