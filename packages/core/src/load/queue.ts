/**
 * Queue of a service, bounded in length and waiting time and fair between workspaces.
 *
 * Workspaces are served round robin. When the queue is full, the newest request of the workspace with the most waiting
 * requests is displaced by one of a workspace with fewer. State is held only for waiting requests, whatever the number
 * of workspaces.
 */

/** Properties of a request that the queue depends on. */
export type Queued = {
	readonly workspace: string;
	readonly deadlineMs: number;
};

/** Bounds of the queue. */
export type QueueBounds = {
	readonly maxLength: number;
	readonly maxWaitMs: number;
};

/** Result of adding a request. */
export type QueueAddition<Item extends Queued>
	= | {readonly type: 'queued'}
		| {readonly type: 'queued-in-place-of'; readonly displaced: Item}
		| {readonly type: 'refused'; readonly kind: 'overloaded' | 'workspace-limit'};

/** A request that was removed from the queue without an instance. */
export type QueueDrop<Item extends Queued> = {
	readonly item: Item;
	readonly kind: 'queue-timeout' | 'deadline-expired';
};

/** A queue that is fair between workspaces. */
export type FairQueue<Item extends Queued> = {
	readonly add: (item: Item, bounds: QueueBounds, nowMs: number) => QueueAddition<Item>;
	/** Removes and returns the first request that `canRun` accepts, workspaces round robin. */
	readonly take: (canRun: (item: Item) => boolean) => Item | undefined;
	/** Removes the requests that waited too long, or have less than `neededMs` left until their deadline. */
	readonly expire: (bounds: QueueBounds, neededMs: number, nowMs: number) => ReadonlyArray<QueueDrop<Item>>;
	/** Removes a request whose caller disconnected; false when it is not waiting. */
	readonly remove: (item: Item) => boolean;
	readonly length: () => number;
	/** Number of workspaces with a waiting request. */
	readonly workspaceCount: () => number;
	/** Number of waiting requests of a workspace. */
	readonly lengthOf: (workspace: string) => number;
};

type Waiting<Item> = {
	readonly item: Item;
	readonly enqueuedAtMs: number;
};

/** Creates an empty queue. */
export const createFairQueue = <Item extends Queued>(): FairQueue<Item> => {
	const queues = new Map<string, Array<Waiting<Item>>>();
	let length = 0;

	const removeAt = (workspace: string, index: number): Item | undefined => {
		const requests = queues.get(workspace);
		const [removed] = requests?.splice(index, 1) ?? [];
		if (requests === undefined || removed === undefined) {
			return undefined;
		}

		length--;
		if (requests.length === 0) {
			queues.delete(workspace);
		}

		return removed.item;
	};

	const append = (item: Item, nowMs: number): void => {
		const waiting = {item, enqueuedAtMs: nowMs};
		const requests = queues.get(item.workspace);
		if (requests === undefined) {
			queues.set(item.workspace, [waiting]);
		} else {
			requests.push(waiting);
		}

		length++;
	};

	const findLongest = (): {readonly workspace: string; readonly length: number} => {
		let longest = {workspace: '', length: 0};
		for (const [workspace, requests] of queues) {
			if (requests.length > longest.length) {
				longest = {workspace, length: requests.length};
			}
		}

		return longest;
	};

	const addWhenFull = (item: Item, nowMs: number): QueueAddition<Item> => {
		const ownLength = queues.get(item.workspace)?.length ?? 0;
		const longest = findLongest();
		if (longest.length <= ownLength + 1) {
			return {type: 'refused', kind: ownLength > 0 && queues.size > 1 ? 'workspace-limit' : 'overloaded'};
		}

		const displaced = removeAt(longest.workspace, longest.length - 1);
		append(item, nowMs);
		return displaced === undefined ? {type: 'queued'} : {type: 'queued-in-place-of', displaced};
	};

	/** Moves a workspace to the end of the round-robin order. */
	const moveToBack = (workspace: string): void => {
		const requests = queues.get(workspace);
		if (requests === undefined) {
			return;
		}

		queues.delete(workspace);
		queues.set(workspace, requests);
	};

	const dropKind = (waiting: Waiting<Item>, bounds: QueueBounds, neededMs: number, nowMs: number): QueueDrop<Item>['kind'] | undefined => {
		if (waiting.item.deadlineMs - nowMs < neededMs || waiting.item.deadlineMs <= nowMs) {
			return 'deadline-expired';
		}

		return nowMs - waiting.enqueuedAtMs >= bounds.maxWaitMs ? 'queue-timeout' : undefined;
	};

	return {
		add(item, bounds, nowMs) {
			if (length >= bounds.maxLength) {
				return addWhenFull(item, nowMs);
			}

			append(item, nowMs);
			return {type: 'queued'};
		},
		take(canRun) {
			for (const [workspace, requests] of queues) {
				const index = requests.findIndex(waiting => canRun(waiting.item));
				if (index !== -1) {
					const item = removeAt(workspace, index);
					moveToBack(workspace);
					return item;
				}
			}

			return undefined;
		},
		expire(bounds, neededMs, nowMs) {
			const drops: Array<QueueDrop<Item>> = [];
			for (const [workspace, requests] of queues) {
				const kept: Array<Waiting<Item>> = [];
				for (const waiting of requests) {
					const kind = dropKind(waiting, bounds, neededMs, nowMs);
					if (kind === undefined) {
						kept.push(waiting);
					} else {
						drops.push({item: waiting.item, kind});
					}
				}

				if (kept.length === 0) {
					queues.delete(workspace);
				} else if (kept.length < requests.length) {
					queues.set(workspace, kept);
				}
			}

			length -= drops.length;
			return drops;
		},
		remove(item) {
			const index = queues.get(item.workspace)?.findIndex(waiting => waiting.item === item) ?? -1;
			return index !== -1 && removeAt(item.workspace, index) !== undefined;
		},
		length: () => length,
		workspaceCount: () => queues.size,
		lengthOf: workspace => queues.get(workspace)?.length ?? 0,
	};
};
