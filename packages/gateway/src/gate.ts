/** Something that opens once, and that others wait for. */

/** A gate. */
export type Gate = {
	readonly open: () => void;
	/** True once the gate is open; false when `signal` aborted before. */
	readonly wait: (signal: AbortSignal) => Promise<boolean>;
	/** True while somebody waits. */
	readonly isAwaited: () => boolean;
};

/** Creates a closed gate. */
export const createGate = (): Gate => {
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
		isAwaited: () => waiting.size > 0,
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
