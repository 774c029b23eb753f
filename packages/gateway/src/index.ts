/** The gateway: one process a host that reads the store, finds its peers, locates callers and serves their requests. */

export {startGateway} from './gateway.ts';
export type {LocatedGateways} from './fleet-view.ts';
export type {Gateway, GatewayParts} from './gateway.ts';
export {gatewaySettingsSchema} from './settings.ts';
export type {GatewaySettings} from './settings.ts';
export {defaultHeaderNames} from './types.ts';
export type {
	HeaderNames, RefusedEntry, StoreClient, StoreFailure, StoreRead, StoreTopic,
} from './types.ts';
