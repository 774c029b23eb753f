/** Slots of an instance and the bounded queue in front of them. */

/** Result of a request for a slot. */
export type SlotGrant = 'granted' | 'full' | 'cancelled';

/** Grants slots in first-come, first-served order. */
export type Slots = {
	/** Takes a slot or waits for one until `signal` aborts; `full` when the queue has no room. */
	readonly acquire: (signal: AbortSignal) => Promise<SlotGrant>;
	readonly release: () => void;
	readonly inFlight: () => number;
	readonly queued: () => number;
};

type Waiter = (grant: SlotGrant) => void;

/** Creates `slots` slots with room for `queueLength` waiters. */
export const createSlots = (slots: number, queueLength: number): Slots => {
	const waiters: Waiter[] = [];
	let used = 0;

	return {
		async acquire(signal) {
			if (used < slots) {
				used++;
				return 'granted';
			}

			if (waiters.length >= queueLength) {
				return 'full';
			}

			return new Promise(resolve => {
				const waiter: Waiter = grant => {
					signal.removeEventListener('abort', cancel);
					resolve(grant);
				};

				const cancel = (): void => {
					waiters.splice(waiters.indexOf(waiter), 1);
					waiter('cancelled');
				};

				waiters.push(waiter);
				signal.addEventListener('abort', cancel, {once: true});
			});
		},
		release() {
			const next = waiters.shift();
			if (next) {
				next('granted');
				return;
			}

			used--;
		},
		inFlight: () => used,
		queued: () => waiters.length,
	};
};
