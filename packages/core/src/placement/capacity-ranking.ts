/** A stable ranking in which strong nodes come before weak ones. */

import {rankNodes} from './rendezvous.ts';

/** Nodes with at least this part of the strongest one's capacity are preferred to all weaker ones. */
const strongShare = 0.5;

/** Strength of a node that does not say. */
export const defaultCapacity = 1;

/** A node that may say how strong it is. */
export type RatedNode = {
	readonly hostId: string;
	/** Strength relative to others; above 0. */
	readonly capacity?: number;
};

/** All of `nodes`, best for `key` first: the strong ones, then the others. */
export const rankByCapacity = <T extends RatedNode>(key: string, nodes: readonly T[]): readonly T[] => {
	const capacityOf = ({capacity = defaultCapacity}: T): number => capacity;
	const strongest = Math.max(...nodes.map(node => capacityOf(node)));
	const isStrong = (node: T): boolean => capacityOf(node) >= strongest * strongShare;
	const rank = (group: readonly T[]): readonly T[] =>
		rankNodes(key, group.map(node => ({id: node.hostId, weight: 1, node})), group.length).map(({node}) => node);
	return [...rank(nodes.filter(node => isStrong(node))), ...rank(nodes.filter(node => !isStrong(node)))];
};
