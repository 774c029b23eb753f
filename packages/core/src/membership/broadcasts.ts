/** Queue of updates to gossip: the newest one of each member, sent a bounded number of times. */

import type {MemberUpdate} from './types.ts';

type Broadcast = {readonly update: MemberUpdate; sent: number};

/** Updates that still have to be sent to other agents. */
export type Broadcasts = {
	/** Queues an update, replacing an older one about the same member. */
	readonly add: (update: MemberUpdate) => void;
	/** Takes up to `limit` updates, those sent least often first. */
	readonly take: (limit: number, memberCount: number) => readonly MemberUpdate[];
	readonly size: () => number;
};

/** How often an update is sent for each power of ten in the number of members. */
const sendsPerDecade = 4;

const sendLimit = (memberCount: number): number => sendsPerDecade * Math.ceil(Math.log10(memberCount + 1));

/** Creates an empty queue. */
export const createBroadcasts = (): Broadcasts => {
	const queue = new Map<string, Broadcast>();
	return {
		add(update) {
			queue.set(update.host.hostId, {update, sent: 0});
		},
		take(limit, memberCount) {
			const limitPerUpdate = sendLimit(memberCount);
			const picked = [...queue.values()].toSorted((left, right) => left.sent - right.sent).slice(0, limit);
			for (const broadcast of picked) {
				broadcast.sent++;
				if (broadcast.sent >= limitPerUpdate) {
					queue.delete(broadcast.update.host.hostId);
				}
			}

			return picked.map(({update}) => update);
		},
		size: () => queue.size,
	};
};
