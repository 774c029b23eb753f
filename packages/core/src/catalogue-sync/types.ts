/** Messages that synchronise the catalogue between gateways. */

import type {CatalogueDigest} from '../catalogue/catalogue.ts';
import type {FleetConfig, InstanceEntry} from '../catalogue/types.ts';

/** A message of one gateway to another. */
export type CatalogueMessage
	= | {
		/** An update: entries that changed. */
		readonly type: 'news';
		readonly entries: readonly InstanceEntry[];
		readonly instancesAsOf: number;
		/** Newest configuration version of the sender; the receiver pulls it if its own is older. */
		readonly configVersion: number;
	}
	| {
		/** Asks the receiver to compare catalogues. */
		readonly type: 'compare';
		readonly digest: CatalogueDigest;
		/** True for the answer to a comparison, which is not answered in turn. */
		readonly isReply?: boolean;
	}
	| {
		/** Asks the receiver for a configuration or instances. */
		readonly type: 'pull';
		/** The sender wants a configuration newer than this version. */
		readonly configVersion: number;
		readonly wantsInstances: boolean;
		/** Only instances that changed after this revision are wanted, in a message of type `news`. */
		readonly afterRevision?: number;
		/** The sender can read packed instances; the previous version can't. */
		readonly takesPacked?: boolean;
	}
	| {
		/** Answers a pull. */
		readonly type: 'state';
		/** The receiver can read packed instances. */
		readonly isPacked?: boolean;
		readonly config?: FleetConfig;
		readonly entries?: readonly InstanceEntry[];
		readonly instancesAsOf: number;
	};

/** A message and its receiver. */
export type CatalogueSend = {
	readonly to: string;
	readonly message: CatalogueMessage;
	/** `stream` for messages that may exceed a datagram and must not be lost silently. */
	readonly transport: 'datagram' | 'stream';
};
