/** When this agent last received messages, to tell whether a peer is silent or this process receives nothing at all. */

type Contact = {readonly hostId: string; readonly atMs: number};

/** The latest messages received, from two different hosts. */
export type RecentContacts = {
	readonly record: (hostId: string, nowMs: number) => void;
	/** True when a message from a host other than `target` arrived at or after `sinceMs`. */
	readonly hasHeardFromOther: (target: string, sinceMs: number) => boolean;
};

/** Creates the record of an agent that has received no messages. */
export const createRecentContacts = (): RecentContacts => {
	let latest: Contact = {hostId: '', atMs: Number.NEGATIVE_INFINITY};
	let previous: Contact = latest;
	return {
		record(hostId, nowMs) {
			previous = latest.hostId === hostId ? previous : latest;
			latest = {hostId, atMs: nowMs};
		},
		hasHeardFromOther(target, sinceMs) {
			const contact = latest.hostId === target ? previous : latest;
			return contact.atMs >= sinceMs;
		},
	};
};
