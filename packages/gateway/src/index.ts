/** The gateway: one process per host that reads the store, discovers its peers, tells callers where to connect and serves their requests. */

export {startGateway} from './gateway.ts';
export type {LocatedGateways} from './fleet-view.ts';
export type {Gateway, GatewayDependencies} from './gateway.ts';
export {gatewaySettingsSchema} from './settings.ts';
export type {GatewaySettings} from './settings.ts';
export {defaultHeaderNames} from './types.ts';
export type {
	HeaderNames, RefusedEntry, StoreClient, StoreFailure, StoreRead, StoreTopic,
} from './types.ts';
export {connectionShares, type ConnectionShares} from './connection-shares.ts';
