/** Whether the configuration in force here may be older than that of others, so that what it does not allow is no reason for a final refusal. */

import type {CatalogueMessage} from '@egretwing/core';
import {configDoubtMs, maxConfigDoubtMs} from './constants.ts';

/** What speaks for and against the configuration in force here. */
export type ConfigDoubt = {
	/** A configuration came into force; the first one, if a peer sent it, may be an old one. */
	readonly noteInForce: (nowMs: number) => void;
	/** The configuration was read from the store. */
	readonly noteRead: () => void;
	/** Takes a message of a peer, which may say that it holds a newer version. */
	readonly noteMessage: (message: CatalogueMessage, nowMs: number) => void;
	readonly isDoubtful: (ownVersion: number, nowMs: number) => boolean;
};

/** The newest version that a peer named, and when it was named first and last. */
type Heard = {readonly version: number; readonly firstMs: number; readonly lastMs: number};

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
			// Names what the sender lacks.
			return 0;
		}
	}
};

/** Creates the doubt of a gateway that has just started. */
export const createConfigDoubt = (): ConfigDoubt => {
	let firstUntilMs: number | undefined;
	let newest: Heard = {version: 0, firstMs: Number.NEGATIVE_INFINITY, lastMs: Number.NEGATIVE_INFINITY};

	const isRecent = ({lastMs}: Heard, nowMs: number): boolean => nowMs - lastMs < configDoubtMs;

	const holds = (heard: Heard, nowMs: number): boolean => isRecent(heard, nowMs) && nowMs - heard.firstMs < maxConfigDoubtMs;

	return {
		noteInForce(nowMs) {
			firstUntilMs ??= nowMs + configDoubtMs;
		},
		noteRead() {
			firstUntilMs = 0;
		},
		noteMessage(message, nowMs) {
			const version = versionIn(message);
			if (version === newest.version) {
				newest = {...newest, lastMs: nowMs};
			} else if (version > newest.version || !isRecent(newest, nowMs)) {
				newest = {version, firstMs: nowMs, lastMs: nowMs};
			}
		},
		isDoubtful: (ownVersion, nowMs) => nowMs < (firstUntilMs ?? 0) || (newest.version > ownVersion && holds(newest, nowMs)),
	};
};
