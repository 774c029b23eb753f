/** Hands out prefixes of idempotency keys: `GET /.well-known/egretwing/idempotency-key?service=NAME`. */

import type http from 'node:http';
import {createRefusal, type Clock, type AtMostOnceGate} from '@egretwing/core';
import {sendJson, refuse} from '@egretwing/node';
import {keyPath} from './constants.ts';
import type {View} from './view.ts';

/** What the handler needs. */
export type KeyPrefixParts = {
	readonly clock: Clock;
	readonly gate: AtMostOnceGate;
	readonly view: View;
};

/** Answers a request for a prefix; false when the request asks for something else. */
export type KeyPrefixHandler = (incoming: http.IncomingMessage, response: http.ServerResponse) => boolean;

/** Creates the handler. */
export const createKeyPrefixHandler = ({clock, gate, view}: KeyPrefixParts): KeyPrefixHandler => (incoming, response) => {
	const target = incoming.url ?? '/';
	if (incoming.method !== 'GET' || !target.startsWith(keyPath)) {
		return false;
	}

	const url = new URL(target, 'http://entry');
	const service = view.service(url.searchParams.get('service') ?? '');
	if (service) {
		sendJson(response, 200, gate.issue(service.keyLifetimeMs, clock.nowMs()));
	} else {
		refuse(response, createRefusal(view.ready() ? 'no-route' : 'not-ready'));
	}

	return true;
};
