/** The slots of an instance and the short queue before them. */

/** What became of the wish for a slot. */
export type SlotGrant = 'granted' | 'full' | 'cancelled';

/** Grants slots in order of arrival. */
export type Slots = {
	/** Takes a slot or waits for one until `signal` aborts. */
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
					signal.removeEventListener('abort', leave);
					resolve(grant);
				};

				const leave = (): void => {
					waiters.splice(waiters.indexOf(waiter), 1);
					waiter('cancelled');
				};

				waiters.push(waiter);
				signal.addEventListener('abort', leave, {once: true});
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
