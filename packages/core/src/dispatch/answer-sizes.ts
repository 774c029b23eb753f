/**
 * Expects the size of an answer from those before it, so that large answers come from the own data centre.
 *
 * Load pattern: downloads while the demand of data centres waves out of step. Without their size, the choice evens out the load of
 * all instances, and most of the bytes cross between data centres although the own instances have free slots.
 */

/** Weight of the newest answer: a mean over some forty. */
const newestWeight = 0.05;

/** Expected sizes of the answers of services, for their routes with large answers. */
export type AnswerSizes = {
	readonly record: (service: string, sizeBytes: number) => void;
	/** Mean size of the last answers; 0 where there was none. */
	readonly expectedBytes: (service: string) => number;
};

/** Creates an estimate without answers. */
export const createAnswerSizes = (): AnswerSizes => {
	const meanBytesByService = new Map<string, number>();
	return {
		record(service, sizeBytes) {
			const meanBytes = meanBytesByService.get(service) ?? sizeBytes;
			meanBytesByService.set(service, meanBytes + (newestWeight * (sizeBytes - meanBytes)));
		},
		expectedBytes: service => meanBytesByService.get(service) ?? 0,
	};
};
