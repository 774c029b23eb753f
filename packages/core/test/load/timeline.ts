/** Event queue in order of time, a binary heap, for experiments on a manual clock. */

/** An action at a point of time. */
export type Event = {readonly atMs: number; readonly run: () => void};

/** Creates an empty timeline. */
export const createTimeline = () => {
	const heap: Event[] = [];
	const before = (left: number, right: number): boolean => heap[left]!.atMs < heap[right]!.atMs;
	const swap = (left: number, right: number): void => {
		[heap[left], heap[right]] = [heap[right]!, heap[left]!];
	};

	const siftDown = (): void => {
		let index = 0;
		for (;;) {
			const child = (2 * index) + 1;
			if (child >= heap.length) {
				return;
			}

			const smaller = child + 1 < heap.length && before(child + 1, child) ? child + 1 : child;
			if (!before(smaller, index)) {
				return;
			}

			swap(smaller, index);
			index = smaller;
		}
	};

	return {
		add(event: Event): void {
			heap.push(event);
			let index = heap.length - 1;
			while (index > 0 && before(index, Math.floor((index - 1) / 2))) {
				swap(index, Math.floor((index - 1) / 2));
				index = Math.floor((index - 1) / 2);
			}
		},
		next(): Event | undefined {
			const first = heap[0];
			const last = heap.pop();
			if (heap.length > 0 && last !== undefined) {
				heap[0] = last;
				siftDown();
			}

			return first;
		},
	};
};
