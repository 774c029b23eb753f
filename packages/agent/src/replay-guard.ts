/** Detects replayed messages. */

/** The number of a message, unique for its sender. */
export type MessageNumber = {
	readonly hostId: string;
	/** Start of the sending process, in milliseconds since 1970. */
	readonly startedMs: number;
	readonly sequence: number;
};

/** Tracks the message numbers of each sender in bounded memory. */
export type ReplayGuard = {
	/** Returns true for a new number, false for a repeated one and for one that is too old to be checked. */
	readonly admit: (number: MessageNumber) => boolean;
};

type Sender = {startedMs: number; highest: number; seen: Set<number>};

/** Messages of one sender may arrive out of order by up to this many numbers. */
const windowSize = 1024;

const pruneOld = (sender: Sender): void => {
	if (sender.seen.size <= 2 * windowSize) {
		return;
	}

	sender.seen = new Set([...sender.seen].filter(sequence => sequence > sender.highest - windowSize));
};

/** Creates a guard without any received messages. */
export const createReplayGuard = (): ReplayGuard => {
	const senders = new Map<string, Sender>();
	return {
		admit({hostId, startedMs, sequence}) {
			const known = senders.get(hostId);
			if (known === undefined || startedMs > known.startedMs) {
				senders.set(hostId, {startedMs, highest: sequence, seen: new Set([sequence])});
				return true;
			}

			const isTooOld = startedMs < known.startedMs || sequence <= known.highest - windowSize;
			if (isTooOld || known.seen.has(sequence)) {
				return false;
			}

			known.seen.add(sequence);
			known.highest = Math.max(known.highest, sequence);
			pruneOld(known);
			return true;
		},
	};
};
