/**
 * Order of the states of the store, as one number: its era and the revision within it.
 *
 * A store that comes back from an older copy gives revisions out again and raises its era. One number is compared by catalogue,
 * history, digests and peers as a revision is, also by gateways that know of no eras. In era 0, of a store that names none, it is the revision.
 */

/** Revisions of an era: more than Unix time in milliseconds, in case the store counts from that. */
export const revisionsPerEra = 2 ** 42;

/** Highest era whose orders are exact numbers. */
export const maxEra = (2 ** 11) - 1;

/** Order of a revision, which is below `revisionsPerEra`, in an era of `maxEra` at most. */
export const toStoreOrder = (era: number, revision: number): number => (era * revisionsPerEra) + revision;

/** Era of an order; -1 where nothing is known (order -1). */
export const eraOf = (order: number): number => Math.floor(order / revisionsPerEra);

/** Revision within the era of an order. */
export const revisionOf = (order: number): number => order < 0 ? order : order % revisionsPerEra;
