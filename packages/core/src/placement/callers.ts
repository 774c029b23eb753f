/**
 * Selects the gateways that the callers of a data centre are told to connect to.
 *
 * A low load spread over many gateways gives each of them too few requests to judge the instances by. Therefore only
 * as many are named as are needed to carry the load, those of highest capacity first, so that one gateway sees most
 * requests to an instance.
 */

import type {MemberView} from '../membership/types.ts';
import {defaultCapacity, rankByCapacity} from './capacity-ranking.ts';

/** A member of the fleet that may be a gateway for callers. */
export type GatewayMember = Pick<MemberView, 'host' | 'status' | 'entryState' | 'usable'>;

/** A gateway that callers may be placed on. */
export type CallerGateway = {
	readonly hostId: string;
	readonly dataCentre: string;
	/** Capacity relative to others: the lower of the capacities of its link and its processor; above 0. */
	readonly capacity: number;
	readonly usable: boolean;
};

/** Settings of the placement of callers. */
export type CallerPlacementConfig = {
	/**
	 * Usable gateways of a data centre for each one that is named to callers; at least one is named.
	 * @default 20
	 */
	readonly membersPerNamed?: number;
};

/** The platform sizes its fleet by the load, so more members mean more requests: 44 in three data centres need one in each, 126 two. */
const defaultMembersPerNamed = 20;

/**
 * Converts members of the fleet to gateways for the placement.
 *
 * One that has just started counts as usable: it holds requests until it is ready, which takes less time than finding
 * another gateway. After a loss of all gateways, callers are therefore sent to the same few gateways from the start.
 */
export const toCallerGateways = (members: readonly GatewayMember[]): readonly CallerGateway[] => members.map(({
	host, status, entryState, usable,
}) => ({
	hostId: host.hostId,
	dataCentre: host.dataCentre,
	capacity: host.capacity ?? defaultCapacity,
	usable: usable || (status === 'alive' && entryState === 'down'),
}));

/** Selects the gateways to name to callers, by data centre. */
export const placeCallers = (gateways: readonly CallerGateway[], {membersPerNamed = defaultMembersPerNamed}: CallerPlacementConfig = {}): ReadonlyMap<string, readonly CallerGateway[]> => {
	const usable = gateways.filter(gateway => gateway.usable);
	const dataCentres = [...new Set(usable.map(({dataCentre}) => dataCentre))].toSorted();
	return new Map(dataCentres.map(dataCentre => {
		const local = usable.filter(gateway => gateway.dataCentre === dataCentre);
		return [dataCentre, rankByCapacity('callers', local).slice(0, Math.max(1, Math.round(local.length / membersPerNamed)))];
	}));
};

/** The gateways to name to a caller: those of its data centre, or those of all data centres when it has none. */
export const gatewaysForCaller = (placed: ReadonlyMap<string, readonly CallerGateway[]>, dataCentre: string | undefined): readonly CallerGateway[] => {
	const localGateways = dataCentre === undefined ? undefined : placed.get(dataCentre);
	return localGateways !== undefined && localGateways.length > 0 ? localGateways : [...placed.values()].flat();
};
