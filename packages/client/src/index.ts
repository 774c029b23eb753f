/** Client library: locates entry hosts, caches the answers, sends requests and retries them safely. */

export {createClient, resolveConfig} from './client.ts';
export type {Client} from './client.ts';
export {createLocator} from './locate.ts';
export type {Locator} from './locate.ts';
export type {
	ClientOptions, ClientRequest, ClientResult, LocateAddress,
} from './types.ts';
