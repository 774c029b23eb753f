/** Naive reference for the configuration store: keeps every text ever seen and sorts all of them on each call. */

import {parseRecord} from '../config/schemas.ts';
import {readRecord, type RecordText} from '../config/text.ts';
import type {ConfigRecord} from '../config/types.ts';

/** Returns the record in force for each key, given everything seen so far. */
export const naiveRecordsInForce = (seen: readonly unknown[]): ReadonlyMap<string, ConfigRecord> => {
	const inForce = new Map<string, ConfigRecord>();
	const winners = new Map<string, RecordText>();
	const rank = (value: unknown): number => JSON.stringify(value).includes('"at-most-once"') ? 1 : 0;
	const readable = seen
		.map(value => ({value, text: readRecord(value), parsed: parseRecord(value)}))
		.filter(entry => entry.text !== undefined && entry.parsed.isOk())
		.toSorted((left, right) =>
			left.text!.revision - right.text!.revision
			|| rank(left.parsed.unwrap()) - rank(right.parsed.unwrap())
			|| (left.text!.text < right.text!.text ? -1 : 1));
	for (const {text, parsed} of readable) {
		winners.set(text!.key, text!);
		inForce.set(text!.key, parsed.unwrap());
	}

	return inForce;
};
