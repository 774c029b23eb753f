/** Which agents watch the configuration service. */

import {rankNodes} from '../placement/rendezvous.ts';

/** An agent that may become a relay. */
export type RelayCandidate = {
	readonly hostId: string;
	readonly dataCentre: string;
};

/** Relays in each data centre unless settings say otherwise. */
export const defaultRelaysPerDataCentre = 2;

/** The agents of `dataCentre` that watch the service: the same on every agent with the same live members. */
export const selectRelays = (
	dataCentre: string,
	liveMembers: readonly RelayCandidate[],
	count = defaultRelaysPerDataCentre,
): readonly string[] => {
	const nodes = liveMembers
		.filter(member => member.dataCentre === dataCentre)
		.map(({hostId}) => ({id: hostId, weight: 1}));
	return rankNodes(`relay/${dataCentre}`, nodes, count).map(({id}) => id);
};
