/** Size of request heads, and the limit on it. */

import type http from 'node:http';
import type {CallerLimits} from '@egretwing/core';

/** Bytes of the request target and of the header names and values, which is what the parser counts against its own limit. */
export const headBytesOf = ({url = '', rawHeaders}: Pick<http.IncomingMessage, 'url' | 'rawHeaders'>): number =>
	rawHeaders.reduce((sumBytes, text) => sumBytes + text.length, url.length);

/** Limit on request heads across changes of the configuration. */
export type HeadLimit = {
	/** Applies the limits of a configuration that comes into force. */
	readonly take: (limits: CallerLimits, nowMs: number) => void;
	readonly bytes: (nowMs: number) => number;
};

type PreviousLimit = {readonly bytes: number; readonly untilMs: number};

/** Creates the limit. After it is lowered, the former limit applies for one header timeout more, for heads already in transit. */
export const createHeadLimit = (): HeadLimit => {
	let current: CallerLimits | undefined;
	let previousLimits: readonly PreviousLimit[] = [];

	return {
		take(limits, nowMs) {
			const ended = current === undefined ? [] : [{bytes: current.maxHeaderBytes, untilMs: nowMs + current.headerTimeoutMs}];
			previousLimits = [...previousLimits, ...ended].filter(({bytes, untilMs}) => bytes > limits.maxHeaderBytes && untilMs > nowMs);
			current = limits;
		},
		bytes: nowMs => Math.max(current?.maxHeaderBytes ?? 0, ...previousLimits.filter(({untilMs}) => untilMs > nowMs).map(({bytes}) => bytes)),
	};
};
