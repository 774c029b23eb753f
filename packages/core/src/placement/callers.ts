/**
 * Which gateways the callers of a data centre are told to connect to.
 *
 * Answers the load in which little work spread over many gateways leaves each of them blind: as few as can carry the
 * load, the strongest first, so that one gateway sees most requests to an instance.
 */

import type {MemberView} from '../membership/types.ts';
import {defaultCapacity, rankByCapacity} from './capacity-ranking.ts';

/** What membership says of a gateway that could take callers. */
export type GatewayMember = Pick<MemberView, 'host' | 'status' | 'entryState' | 'usable'>;

/** A gateway as the placement of callers sees it. */
export type CallerGateway = {
	readonly hostId: string;
	readonly dataCentre: string;
	/** Strength relative to others: the weaker of its link and its processor; above 0. */
	readonly capacity: number;
	readonly usable: boolean;
};

/** How many gateways callers are told. */
export type CallerPlacement = {
	/**
	 * Usable gateways of a data centre for each one that is named there; at least one is.
	 * @default 20
	 */
	readonly membersPerNamed?: number;
};

/** The platform sizes its fleet by the load, so that more members stand for more requests: 44 in three data centres need one each, 126 two. */
const defaultMembersPerNamed = 20;

/**
 * The gateways of a fleet, for the placement.
 *
 * One that has just started counts as usable: it holds requests until it knows enough, which takes less than finding
 * another gateway. After a loss of all gateways the callers thus stay together from the first moment.
 */
export const toCallerGateways = (members: readonly GatewayMember[]): readonly CallerGateway[] => members.map(({
	host, status, entryState, usable,
}) => ({
	hostId: host.hostId,
	dataCentre: host.dataCentre,
	capacity: host.capacity ?? defaultCapacity,
	usable: usable || (status === 'alive' && entryState === 'down'),
}));

/** The gateways that take callers, by data centre. */
export const placeCallers = (gateways: readonly CallerGateway[], {membersPerNamed = defaultMembersPerNamed}: CallerPlacement = {}): ReadonlyMap<string, readonly CallerGateway[]> => {
	const usable = gateways.filter(gateway => gateway.usable);
	const dataCentres = [...new Set(usable.map(({dataCentre}) => dataCentre))].toSorted();
	return new Map(dataCentres.map(dataCentre => {
		const local = usable.filter(gateway => gateway.dataCentre === dataCentre);
		return [dataCentre, rankByCapacity('callers', local).slice(0, Math.max(1, Math.round(local.length / membersPerNamed)))];
	}));
};

/** The gateways to name to a caller: those of its data centre, or all when it has none. */
export const gatewaysForCaller = (placed: ReadonlyMap<string, readonly CallerGateway[]>, dataCentre: string | undefined): readonly CallerGateway[] => {
	const own = dataCentre === undefined ? undefined : placed.get(dataCentre);
	return own !== undefined && own.length > 0 ? own : [...placed.values()].flat();
};
