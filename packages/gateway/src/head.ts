/** How large the head of a request is, and how large it may be. */

import type http from 'node:http';
import type {CallerLimits} from '@egretwing/core';

/** Bytes of the target and of the names and values of the headers, which is what the parser counts against its own limit. */
export const headBytesOf = ({url = '', rawHeaders}: Pick<http.IncomingMessage, 'url' | 'rawHeaders'>): number =>
	rawHeaders.reduce((sumBytes, text) => sumBytes + text.length, url.length);

/** The limit on heads across changes of the configuration. */
export type HeadLimit = {
	/** Takes the limits of a configuration that comes into force. */
	readonly take: (limits: CallerLimits, nowMs: number) => void;
	readonly bytes: (nowMs: number) => number;
};

type Former = {readonly bytes: number; readonly untilMs: number};

/** Creates the limit; one that is lowered spares the heads that were on their way before, for as long as a head may take. */
export const createHeadLimit = (): HeadLimit => {
	let current: CallerLimits | undefined;
	let formers: readonly Former[] = [];

	return {
		take(limits, nowMs) {
			const ended = current === undefined ? [] : [{bytes: current.maxHeaderBytes, untilMs: nowMs + current.headerTimeoutMs}];
			formers = [...formers, ...ended].filter(({bytes, untilMs}) => bytes > limits.maxHeaderBytes && untilMs > nowMs);
			current = limits;
		},
		bytes: nowMs => Math.max(current?.maxHeaderBytes ?? 0, ...formers.filter(({untilMs}) => untilMs > nowMs).map(({bytes}) => bytes)),
	};
};
