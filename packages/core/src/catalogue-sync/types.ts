/** Messages that synchronise the catalogue between gateways. */

import type {CatalogueDigest} from '../catalogue/catalogue.ts';
import type {Coverage} from '../catalogue/completeness.ts';
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
		/** The changes that the entries hold without a gap; absent where some may be missing. */
		readonly coverage?: Omit<Coverage, 'lapsesUntilMs'>;
	}
	| {
		/** Asks the receiver to compare catalogues. */
		readonly type: 'compare';
		readonly digest: CatalogueDigest;
		/** Order up to which the sender knows all instances without a gap; absent where unknown instances may be registered again. */
		readonly completeAsOf?: number;
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
		/** Order up to which the sender knows all instances. Where the receiver no longer knows each removal since, it sends all instances instead. */
		readonly completeAsOf?: number;
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
		/** Order up to which the entries are all that the store held. */
		readonly completeAsOf?: number;
		/** For how long an instance that is not among them may be registered again, in milliseconds. */
		readonly lapsesForMs?: number;
	};

/** A message and its receiver. */
export type CatalogueSend = {
	readonly to: string;
	readonly message: CatalogueMessage;
	/** `stream` for messages that may exceed a datagram and must not be lost silently. */
	readonly transport: 'datagram' | 'stream';
};
