/** The forms of the messages between gateways. */

import {
	isAddress, isBytes, isCount, isFlag, isIncarnation, isInteger, isListOf, isName, isNotNegative,
	isNumber, isOneOf, isPort, isPositive, isRecord, isRow, isSpanMs, isText, isVariant, optional, orNull, type Check,
} from './message-checks.ts';

const hostRow = isRow(isName, isAddress, isText, isText, isOneOf('live', 'leaving'), isPort, isPort, isPort, orNull(isPositive));

const memberRow = isRow(hostRow, isIncarnation, isOneOf('alive', 'suspect', 'dead', 'left'), isOneOf('up', 'draining', 'down'), isIncarnation, isListOf(isName));

const updates = isListOf(memberRow);

const groups = isListOf(isInteger);

const memberMessage = isVariant({
	ping: isRecord({
		sequence: isInteger, target: isName, introduce: isFlag, updates,
	}),
	ack: isRecord({sequence: isInteger, target: isName, updates}),
	'not-me': isRecord({target: isName, updates}),
	'ping-request': isRecord({sequence: isInteger, target: isName, updates}),
	nack: isRecord({sequence: isInteger, updates}),
	gossip: isRecord({updates}),
	'state-digest': isRecord({sequence: isInteger, groups}),
	state: isRecord({sequence: isInteger, updates, wanted: groups}),
});

const instanceRecord = isRecord({
	service: isName, address: isAddress, port: isPort, dataCentre: isText, slots: isCount, state: isOneOf('ready', 'draining'), warmupLeftMs: isSpanMs, bornAtMs: isNumber,
});

const entries = isListOf(isRecord({
	instanceId: isText, revision: isNumber, record: orNull(instanceRecord), isLapsed: optional(isFlag), isDelayed: optional(isFlag), usableForMs: optional(isNumber),
}));

const config = isRecord({
	version: isInteger,
	routes: isListOf(isRecord({
		name: isText,
		hostName: isText,
		pathPrefix: isText,
		semantics: isOneOf('idempotent', 'at-most-once'),
		timeoutMs: isPositive,
		latencyObjectiveMs: isPositive,
		maxAttempts: isCount,
		rank: isNumber,
		services: value => isListOf(isRecord({service: isText, weight: isNotNegative}))(value) && (value as readonly unknown[]).length > 0,
		hasLargeAnswers: optional(isFlag),
		isPublic: optional(isFlag),
	})),
	services: isListOf(isRecord({name: isText, healthPath: isText, connectionsPerInstance: isCount})),
	limits: isRecord({
		maxHeaderBytes: isPositive, maxBodyBytes: isPositive, headerTimeoutMs: isPositive, idleTimeoutMs: isPositive,
	}),
	workspaces: optional(isListOf(isRecord({
		name: isName, keyDigests: isListOf(isText), rank: optional(isNumber), quota: optional(isRecord({ratePerSecond: isPositive, burst: isNotNegative})),
	}))),
});

const catalogueMessage = isVariant({
	news: isRecord({
		entries, instancesAsOf: isNumber, configVersion: isInteger, coverage: optional(isRecord({sinceAsOf: isNotNegative, asOf: isNotNegative})),
	}),
	compare: isRecord({
		digest: isRecord({configVersion: isInteger, instances: isNumber, instancesAsOf: isNumber}), completeAsOf: optional(isNumber), isReply: optional(isFlag),
	}),
	pull: isRecord({
		configVersion: isInteger, wantsInstances: isFlag, afterRevision: optional(isNumber), completeAsOf: optional(isNumber), takesPacked: optional(isFlag),
	}),
	state: isRecord({
		isPacked: optional(isFlag), config: optional(config), entries: optional(entries), packedConfig: optional(isBytes), packedEntries: optional(isBytes), instancesAsOf: isNumber,
		completeAsOf: optional(isNumber), lapsesForMs: optional(isSpanMs),
	}),
});

const message = isVariant({
	member: isRecord({message: memberMessage}),
	spread: isRecord({message: catalogueMessage}),
	load: isRecord({service: isName, rows: isListOf(isRow(isName, isNotNegative, orNull(isSpanMs), orNull(isSpanMs)))}),
	join: isRecord({host: hostRow}),
	hosts: isRecord({hosts: isListOf(hostRow)}),
	store: isRecord({isReachable: isFlag, failingForMs: optional(isSpanMs), readingForMs: optional(isSpanMs)}),
	quota: isRecord({
		report: isRecord({
			upMs: isSpanMs,
			memoryMs: isSpanMs,
			rows: isListOf(isRow(isName, isNotNegative, isNotNegative, isFlag, isNotNegative, isSpanMs)),
			strayIds: isListOf(isName),
		}),
	}),
	leaving: isRecord({
		run: isRecord({
			instanceId: isName, bornAtMs: isNumber, address: isAddress, port: isPort,
		}),
	}),
});

/** Whether a value is a message in its wire form, with the sender before it. */
export const isEnvelope: Check = isRow(isName, isAddress, isPort, message);

/** Whether a value that was unpacked is a configuration. */
export const isConfig: Check = config;

/** Whether a value that was unpacked is a list of instances. */
export const isEntries: Check = entries;
