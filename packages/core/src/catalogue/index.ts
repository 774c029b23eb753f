/** The published configuration and the registered instances, merged from the store and from peers. */

export {createCatalogue, reconcileFullRead} from './catalogue.ts';
export type {Catalogue, CatalogueDigest} from './catalogue.ts';
export type {Completeness, Coverage} from './completeness.ts';
export {createPrefixRouteTable, pickService} from './prefix-routes.ts';
export type {PrefixRouteTable} from './prefix-routes.ts';
export {
	eraOf, maxEra, revisionOf, revisionsPerEra, toStoreOrder,
} from './store-order.ts';
export type {
	CallerLimits, CatalogueService, FleetConfig, InstanceEntry, InstanceRecord, InstanceRun, LiveInstance, PrefixRoute, WeightedService, Workspace, WorkspaceQuota,
} from './types.ts';
