/** Spread of the catalogue between gateways, and who reads the store. */

export {electionWaitMs} from './constants.ts';
export {createReaderElection} from './readers.ts';
export type {ReaderCandidate, ReaderElection} from './readers.ts';
export {createSpread} from './spread.ts';
export type {Spread, SpreadChange, SpreadOptions} from './spread.ts';
export type {SpreadMessage, SpreadSend} from './types.ts';
