/** Messages about the catalogue between gateways. */

import type {CatalogueDigest} from '../catalogue/catalogue.ts';
import type {FleetConfig, InstanceEntry} from '../catalogue/types.ts';

/** A message of one gateway to another. */
export type CatalogueMessage
	= | {
		readonly type: 'news';
		readonly entries: readonly InstanceEntry[];
		readonly instancesAsOf: number;
		/** Newest version that the sender holds; the receiver asks for it. */
		readonly configVersion: number;
	}
	| {
		/** Asks the receiver to compare catalogues. */
		readonly type: 'compare';
		readonly digest: CatalogueDigest;
		/** True when it answers a comparison, so that it is not answered by another. */
		readonly isReply?: boolean;
	}
	| {
		readonly type: 'pull';
		/** The sender wants a newer configuration than this. */
		readonly configVersion: number;
		readonly wantsInstances: boolean;
		/** Only instances that changed after this revision are wanted, as news. */
		readonly afterRevision?: number;
		/** The sender reads packed instances; the previous version does not. */
		readonly takesPacked?: boolean;
	}
	| {
		readonly type: 'state';
		/** The receiver reads packed instances. */
		readonly isPacked?: boolean;
		readonly config?: FleetConfig;
		readonly entries?: readonly InstanceEntry[];
		readonly instancesAsOf: number;
	};

/** A message and its receiver. */
export type CatalogueSend = {
	readonly to: string;
	readonly message: CatalogueMessage;
	/** `stream` for messages that need not fit a datagram and must not be lost silently. */
	readonly transport: 'datagram' | 'stream';
};
