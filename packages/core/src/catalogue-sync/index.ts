/** Synchronisation of the catalogue between gateways, and election of the gateways that read the store. */

export {electionWaitMs} from './constants.ts';
export {createReaderElection} from './readers.ts';
export type {ReaderCandidate, ReaderElection} from './readers.ts';
export {createReaderWatch} from './reader-watch.ts';
export type {ReaderWatch} from './reader-watch.ts';
export {createCatalogueSync} from './sync.ts';
export type {CatalogueSync, CatalogueChange, CatalogueSyncOptions} from './sync.ts';
export type {CatalogueMessage, CatalogueSend} from './types.ts';
