/**
 * The short queue of a service: bounded in length and time, fair between workspaces.
 *
 * Workspaces take turns. When the queue is full, the newest request of the workspace with the most waiting makes room
 * for one of a workspace with fewer. State is held for waiting requests only, whatever the number of workspaces.
 */

/** What the queue needs to know of a request. */
export type Queued = {
	readonly workspace: string;
	readonly deadlineMs: number;
};

/** Bounds of the queue. */
export type QueueBounds = {
	readonly maxLength: number;
	readonly maxWaitMs: number;
};

/** What happened to a request that was added. */
export type QueueAddition<Item extends Queued>
	= | {readonly type: 'queued'}
		| {readonly type: 'queued-in-place-of'; readonly displaced: Item}
		| {readonly type: 'refused'; readonly kind: 'overloaded' | 'workspace-limit'};

/** A request that left the queue without an instance. */
export type QueueDrop<Item extends Queued> = {
	readonly item: Item;
	readonly kind: 'queue-timeout' | 'deadline-expired';
};

/** A queue that is fair between workspaces. */
export type FairQueue<Item extends Queued> = {
	readonly add: (item: Item, bounds: QueueBounds, nowMs: number) => QueueAddition<Item>;
	/** Removes and returns the first request, in turn, that `canRun` accepts. */
	readonly take: (canRun: (item: Item) => boolean) => Item | undefined;
	/** Removes the requests that waited too long, or whose deadline leaves less than `neededMs`. */
	readonly expire: (bounds: QueueBounds, neededMs: number, nowMs: number) => ReadonlyArray<QueueDrop<Item>>;
	/** Removes a request whose caller went away; false when it is not waiting. */
	readonly remove: (item: Item) => boolean;
	readonly length: () => number;
	/** Number of workspaces with a waiting request. */
	readonly workspaceCount: () => number;
	/** Waiting requests of a workspace. */
	readonly lengthOf: (workspace: string) => number;
};

type Waiting<Item> = {
	readonly item: Item;
	readonly enqueuedAtMs: number;
};

/** Creates an empty queue. */
export const createFairQueue = <Item extends Queued>(): FairQueue<Item> => {
	const lines = new Map<string, Array<Waiting<Item>>>();
	let length = 0;

	const cut = (workspace: string, index: number): Item | undefined => {
		const line = lines.get(workspace);
		const [removed] = line?.splice(index, 1) ?? [];
		if (line === undefined || removed === undefined) {
			return undefined;
		}

		length--;
		if (line.length === 0) {
			lines.delete(workspace);
		}

		return removed.item;
	};

	const append = (item: Item, nowMs: number): void => {
		const waiting = {item, enqueuedAtMs: nowMs};
		const line = lines.get(item.workspace);
		if (line === undefined) {
			lines.set(item.workspace, [waiting]);
		} else {
			line.push(waiting);
		}

		length++;
	};

	const findLongest = (): {readonly workspace: string; readonly length: number} => {
		let longest = {workspace: '', length: 0};
		for (const [workspace, line] of lines) {
			if (line.length > longest.length) {
				longest = {workspace, length: line.length};
			}
		}

		return longest;
	};

	const makeRoom = (item: Item, nowMs: number): QueueAddition<Item> => {
		const own = lines.get(item.workspace)?.length ?? 0;
		const longest = findLongest();
		if (longest.length <= own + 1) {
			return {type: 'refused', kind: own > 0 && lines.size > 1 ? 'workspace-limit' : 'overloaded'};
		}

		const displaced = cut(longest.workspace, longest.length - 1);
		append(item, nowMs);
		return displaced === undefined ? {type: 'queued'} : {type: 'queued-in-place-of', displaced};
	};

	/** Moves a workspace behind the others. */
	const endTurn = (workspace: string): void => {
		const line = lines.get(workspace);
		if (line === undefined) {
			return;
		}

		lines.delete(workspace);
		lines.set(workspace, line);
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
				return makeRoom(item, nowMs);
			}

			append(item, nowMs);
			return {type: 'queued'};
		},
		take(canRun) {
			for (const [workspace, line] of lines) {
				const index = line.findIndex(waiting => canRun(waiting.item));
				if (index !== -1) {
					const item = cut(workspace, index);
					endTurn(workspace);
					return item;
				}
			}

			return undefined;
		},
		expire(bounds, neededMs, nowMs) {
			const drops: Array<QueueDrop<Item>> = [];
			for (const [workspace, line] of lines) {
				const kept: Array<Waiting<Item>> = [];
				for (const waiting of line) {
					const kind = dropKind(waiting, bounds, neededMs, nowMs);
					if (kind === undefined) {
						kept.push(waiting);
					} else {
						drops.push({item: waiting.item, kind});
					}
				}

				if (kept.length === 0) {
					lines.delete(workspace);
				} else if (kept.length < line.length) {
					lines.set(workspace, kept);
				}
			}

			length -= drops.length;
			return drops;
		},
		remove(item) {
			const index = lines.get(item.workspace)?.findIndex(waiting => waiting.item === item) ?? -1;
			return index !== -1 && cut(item.workspace, index) !== undefined;
		},
		length: () => length,
		workspaceCount: () => lines.size,
		lengthOf: workspace => lines.get(workspace)?.length ?? 0,
	};
};
