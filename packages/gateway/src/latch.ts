/** A one-shot latch. */

/** A latch that opens once and releases all who wait for it. */
export type Latch = {
	readonly open: () => void;
	/** Resolves with true once the latch is open, with false when `signal` aborts before. */
	readonly wait: (signal: AbortSignal) => Promise<boolean>;
	readonly hasWaiters: () => boolean;
};

/** Creates a closed latch. */
export const createLatch = (): Latch => {
	let isOpen = false;
	const waiting = new Set<() => void>();

	return {
		open() {
			isOpen = true;
			for (const settle of waiting) {
				settle();
			}

			waiting.clear();
		},
		hasWaiters: () => waiting.size > 0,
		async wait(signal) {
			if (isOpen || signal.aborted) {
				return isOpen;
			}

			return new Promise(resolve => {
				const settle = (): void => {
					resolve(true);
				};

				waiting.add(settle);
				signal.addEventListener('abort', () => {
					waiting.delete(settle);
					resolve(false);
				}, {once: true});
			});
		},
	};
};
