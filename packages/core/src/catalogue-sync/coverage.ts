/** What the messages between gateways say of the completeness of the instances in them. */

import type {Completeness, Coverage} from '../catalogue/completeness.ts';
import type {InstanceEntry} from '../catalogue/types.ts';
import type {CatalogueMessage} from './types.ts';

/** The answer of a peer to a pull. */
export type PeerState = Extract<CatalogueMessage, {type: 'state'}>;

/** Changes of instances, as one gateway tells another. */
export type Update = Pick<Extract<CatalogueMessage, {type: 'news'}>, 'entries' | 'coverage'>;

/**
 * What to tell others of entries, of which `merged` changed this gateway's catalogue: these alone, or all of them where they have no gap, so that
 * the receivers have none either.
 */
export const toUpdate = (merged: readonly InstanceEntry[], entries: readonly InstanceEntry[], coverage: Coverage | undefined): Update => {
	if (coverage === undefined || coverage.sinceAsOf === -1) {
		return {entries: merged};
	}

	const changed = new Set(merged);
	const {sinceAsOf, asOf} = coverage;
	return {entries: [...merged, ...entries.filter(entry => !changed.has(entry))], coverage: {sinceAsOf, asOf}};
};

/** What a peer's state covers; undefined where the peer can't tell. */
export const coverageOfState = ({completeAsOf, lapsesForMs}: PeerState, nowMs: number): Coverage | undefined => completeAsOf === undefined
	? undefined
	: {sinceAsOf: -1, asOf: completeAsOf, ...(lapsesForMs !== undefined && {lapsesUntilMs: nowMs + lapsesForMs})};

/** What a peer's state says of the completeness of this gateway's instances. */
export const completenessInState = ({asOf, lapsesUntilMs}: Completeness, nowMs: number): Pick<PeerState, 'completeAsOf' | 'lapsesForMs'> => asOf === -1
	? {}
	: {completeAsOf: asOf, ...(lapsesUntilMs !== undefined && {lapsesForMs: Math.max(0, lapsesUntilMs - nowMs)})};

/** What changes read from the store cover: they begin at the last change that is known, since nothing has changed from there to where the watch began. */
export const sinceLastChange = (coverage: Coverage, {asOf, changedAsOf}: Completeness): Coverage => coverage.sinceAsOf === -1 || coverage.sinceAsOf > asOf
	? coverage
	: {...coverage, sinceAsOf: Math.min(coverage.sinceAsOf, changedAsOf)};
