/** Refuses messages that were received before. */

/** What a sender numbers its messages with. */
export type MessageNumber = {
	readonly hostId: string;
	/** Start of the sending process, in milliseconds since 1970. */
	readonly startedMs: number;
	readonly sequence: number;
};

/** Remembers what each sender has sent. */
export type ReplayGuard = {
	/** True the first time a number is seen, false for repeats and for what is too old to tell. */
	readonly admit: (number: MessageNumber) => boolean;
};

type Sender = {startedMs: number; highest: number; seen: Set<number>};

/** How far messages of one sender may overtake each other. */
const windowSize = 1024;

const forgetOld = (sender: Sender): void => {
	if (sender.seen.size <= 2 * windowSize) {
		return;
	}

	sender.seen = new Set([...sender.seen].filter(sequence => sequence > sender.highest - windowSize));
};

/** Creates a guard that has seen nothing. */
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
			forgetOld(known);
			return true;
		},
	};
};
