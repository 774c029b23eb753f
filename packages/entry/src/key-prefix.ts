/** Issues prefixes of idempotency keys: `GET /.well-known/egretwing/idempotency-key?service=NAME`. */

import type http from 'node:http';
import {createRefusal, type Clock, type AtMostOnceGate} from '@egretwing/core';
import {parseTarget, refuse, sendJson} from '@egretwing/node';
import {keyPrefixPath} from './constants.ts';
import type {FleetView} from './fleet-view.ts';

/** Dependencies of the handler. */
export type KeyPrefixOptions = {
	readonly clock: Clock;
	readonly gate: AtMostOnceGate;
	readonly view: FleetView;
};

/** Responds to a request for a prefix; returns false without a response if the request is for another path or method. */
export type KeyPrefixHandler = (incoming: http.IncomingMessage, response: http.ServerResponse) => boolean;

export const createKeyPrefixHandler = ({clock, gate, view}: KeyPrefixOptions): KeyPrefixHandler => (incoming, response) => {
	const target = incoming.url ?? '/';
	if (incoming.method !== 'GET' || !target.startsWith(keyPrefixPath)) {
		return false;
	}

	const url = parseTarget(target);
	if (url === undefined) {
		refuse(response, createRefusal('malformed-request'));
		return true;
	}

	const service = view.service(url.searchParams.get('service') ?? '');
	if (service) {
		sendJson(response, 200, gate.issue(service.keyLifetimeMs, clock.nowMs()));
	} else {
		refuse(response, createRefusal(view.ready() ? 'no-route' : 'not-ready'));
	}

	return true;
};
