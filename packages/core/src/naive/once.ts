/**
 * Naive reference for idempotency keys.
 *
 * Decides as an omniscient observer would: one unbounded list of all runs that drops none by age, with a linear search.
 */

import {createRefusal} from '../errors/answers.ts';
import type {
	AtMostOnceDecision, AtMostOnceOutcome, AtMostOnceRequest, AtMostOnceTicket,
} from '../once/types.ts';

type RunRecord = {
	readonly id: string;
	readonly fingerprint: string;
	outcome: AtMostOnceOutcome | undefined;
};

/** The part of a gate that the naive reference implements. */
export type NaiveGate = {
	readonly decide: (request: AtMostOnceRequest, nowMs: number) => AtMostOnceDecision;
	readonly settle: (ticket: AtMostOnceTicket, outcome: AtMostOnceOutcome) => void;
};

const decideAgain = (record: RunRecord): AtMostOnceDecision => {
	switch (record.outcome?.type) {
		case undefined: {
			return {type: 'wait', id: record.id};
		}

		case 'ran': {
			return record.outcome.answer
				? {type: 'replay', id: record.id, answer: record.outcome.answer}
				: {type: 'refuse', refusal: createRefusal('answer-not-kept')};
		}

		case 'unknown':
		case 'not-run': {
			return {type: 'refuse', refusal: createRefusal('outcome-unknown')};
		}
	}
};

/** Creates a gate that keeps every run since the start; a key that did not run is removed. */
export const createNaiveAtMostOnceGate = (): NaiveGate => {
	let records: readonly RunRecord[] = [];
	return {
		decide(request, nowMs) {
			const id = `${request.workspace} ${request.key.text}`;
			const record = records.find(candidate => candidate.id === id);
			if (record) {
				return record.fingerprint === request.fingerprint
					? decideAgain(record)
					: {type: 'refuse', refusal: createRefusal('key-mismatch')};
			}

			if (request.key.type === 'issued' && nowMs >= request.key.issuedAtMs + request.key.lifetimeMs) {
				return {type: 'refuse', refusal: createRefusal('key-expired')};
			}

			records = [...records, {id, fingerprint: request.fingerprint, outcome: undefined}];
			return {type: 'run', ticket: {id, incarnation: 0, writeUntilMs: request.deadlineMs}};
		},
		settle(ticket, outcome) {
			if (outcome.type === 'not-run') {
				records = records.filter(record => record.id !== ticket.id);
				return;
			}

			for (const record of records.filter(candidate => candidate.id === ticket.id)) {
				record.outcome = outcome;
			}
		},
	};
};
