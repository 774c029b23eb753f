/**
 * Recognises writes of instances that reach the store after later ones, since a partition held them up.
 *
 * Within a run of an instance only one order is possible, whatever the revisions say: first `ready`, then `draining`; and a run has
 * ended when a later one has begun. Runs without a time of birth can't be told apart, so that the newest entry counts.
 */

import {toRunKey} from './leaving-runs.ts';
import type {InstanceEntry, InstanceRecord, LiveInstance} from './types.ts';

/** What is known of an id. */
type KnownRun = {
	readonly live?: LiveInstance;
	/** The instance whose registration was removed, while none is registered. */
	readonly gone?: LiveInstance;
};

/** Whether a record is of an earlier run than `last`; false where either has no time of birth. */
export const isOfEarlierRun = ({bornAtMs}: InstanceRecord, last: LiveInstance | undefined): boolean =>
	last !== undefined && bornAtMs !== 0 && bornAtMs < last.bornAtMs;

const hasDrained = (instanceId: string, record: InstanceRecord, last: LiveInstance | undefined): boolean =>
	last?.state === 'draining' && record.bornAtMs !== 0 && toRunKey({...record, instanceId}) === toRunKey(last);

/** Marks an entry whose write was delayed. */
export const markIfDelayed = (entry: InstanceEntry, known: KnownRun | undefined): InstanceEntry => {
	const {record, instanceId} = entry;
	const last = known?.live ?? known?.gone;
	return record?.state === 'ready' && (isOfEarlierRun(record, last) || hasDrained(instanceId, record, last))
		? {...entry, record: {...record, state: 'draining'}, isDelayed: true}
		: entry;
};

/** Whether an entry is newer than another one of its id. */
export const isNewerEntry = (entry: InstanceEntry, than: InstanceEntry): boolean =>
	entry.revision > than.revision || (entry.revision === than.revision && entry.isDelayed === true && than.isDelayed !== true && than.record !== null);
