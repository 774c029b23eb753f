/**
 * Tracks whether the configuration in force here may be older than that of other gateways. While it may be, a request that it
 * does not allow must not be refused for good.
 */

import type {CatalogueMessage} from '@egretwing/core';
import {configStalenessWindowMs, maxConfigStalenessWindowMs} from './constants.ts';

/** Evidence for and against the configuration in force here being the newest. */
export type ConfigStaleness = {
	/** Records that a configuration came into force. The first one may be outdated if a peer sent it. */
	readonly recordInForce: (nowMs: number) => void;
	/** Records that the configuration was read from the store. */
	readonly recordRead: () => void;
	/** Records the version that a message of a peer names. */
	readonly recordMessage: (message: CatalogueMessage, nowMs: number) => void;
	readonly isPossiblyStale: (ownVersion: number, nowMs: number) => boolean;
};

/** The newest version that a peer named, and when it was first and last named. */
type NamedVersion = {readonly version: number; readonly firstMs: number; readonly lastMs: number};

const versionIn = (message: CatalogueMessage): number => {
	switch (message.type) {
		case 'news': {
			return message.configVersion;
		}

		case 'compare': {
			return message.digest.configVersion;
		}

		case 'state': {
			return message.config?.version ?? 0;
		}

		case 'pull': {
			// Asks for a configuration newer than its version, which is the largest integer if none is wanted: no evidence of a newer one.
			return 0;
		}
	}
};

/** Creates the tracker of a gateway that has just started. */
export const createConfigStaleness = (): ConfigStaleness => {
	let initiallyStaleUntilMs: number | undefined;
	let newest: NamedVersion = {version: 0, firstMs: Number.NEGATIVE_INFINITY, lastMs: Number.NEGATIVE_INFINITY};

	const isRecent = ({lastMs}: NamedVersion, nowMs: number): boolean => nowMs - lastMs < configStalenessWindowMs;

	const isCredible = (named: NamedVersion, nowMs: number): boolean => isRecent(named, nowMs) && nowMs - named.firstMs < maxConfigStalenessWindowMs;

	return {
		recordInForce(nowMs) {
			initiallyStaleUntilMs ??= nowMs + configStalenessWindowMs;
		},
		recordRead() {
			initiallyStaleUntilMs = 0;
		},
		recordMessage(message, nowMs) {
			const version = versionIn(message);
			if (version === newest.version) {
				newest = {...newest, lastMs: nowMs};
			} else if (version > newest.version || !isRecent(newest, nowMs)) {
				newest = {version, firstMs: nowMs, lastMs: nowMs};
			}
		},
		isPossiblyStale: (ownVersion, nowMs) => nowMs < (initiallyStaleUntilMs ?? 0) || (newest.version > ownVersion && isCredible(newest, nowMs)),
	};
};
