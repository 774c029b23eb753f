/** Selects the agents that watch the configuration service. */

import {rankNodes} from '../placement/rendezvous.ts';

/** An agent that may become a relay. */
export type RelayCandidate = {
	readonly hostId: string;
	readonly dataCentre: string;
};

/** Default number of relays in each data centre. */
export const defaultRelaysPerDataCentre = 2;

/** Host ids of the agents of `dataCentre` that watch the service. Agents with the same live members select the same ones. */
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
