/** Rendezvous hashing (highest random weight): a stable ranking of nodes for a key. */

import {hashText} from '../random.ts';

const uint32Range = 0x1_00_00_00_00;

/** A node to be ranked. */
export type WeightedNode = {
	readonly id: string;
	/** Share of keys relative to other nodes; above 0. */
	readonly weight: number;
};

/** Score of `node` for `key`; the highest score ranks first. */
const scoreNode = (key: string, node: WeightedNode): number => {
	const uniform = (hashText(`${key}\n${node.id}`) + 0.5) / uint32Range;
	return -node.weight / Math.log(uniform);
};

/**
 * The `count` nodes that rank highest for `key`, best first.
 *
 * A node that joins or leaves changes the result by at most that node, and a higher count only adds nodes.
 */
export const rankNodes = <T extends WeightedNode>(key: string, nodes: readonly T[], count: number): readonly T[] => {
	const scored = nodes.map(node => ({node, score: scoreNode(key, node)}));
	scored.sort((left, right) => right.score - left.score || (left.node.id < right.node.id ? -1 : 1));
	return scored.slice(0, count).map(({node}) => node);
};
