/**
 * Forwards a request with an idempotency key to the entry that owns the key.
 *
 * The request is sent to the port on which the owner listens for callers, with a header that only an entry of the fleet
 * can sign. A request with this header is never forwarded again.
 */

import type {FleetMember, KeyOwner, SendMark} from '@egretwing/core';
import type {Sealer} from '@egretwing/node';
import type {AttemptOptions, AttemptOutcome, Attempts} from './attempt.ts';
import {firstSendHeader, forwardHeader} from './constants.ts';
import type {CallerRequest} from './request.ts';

/** Sends requests to peer entries. */
export type Forwarder = {
	/** Forwards `request`; resolves with `not-written` if the owner is unknown or can't be reached. */
	readonly send: (request: CallerRequest, owner: KeyOwner, options: Pick<AttemptOptions, 'signal' | 'mayWrite'>) => Promise<AttemptOutcome>;
	/** Whether the request comes from a caller, from an entry, or has an invalid signature. */
	readonly originOf: (request: CallerRequest) => 'caller' | 'entry' | 'forged';
};

/** Dependencies of the forwarder. */
export type ForwarderOptions = {
	readonly hostId: string;
	readonly members: () => readonly FleetMember[];
	readonly sealer: Pick<Sealer, 'sign' | 'verify'>;
	readonly attempts: Attempts;
};

/** Header value of each mark; the receiver reads the value of `unmarked` as an absent mark. */
const markHeaderValues: Readonly<Record<SendMark, string>> = {first: 'true', resend: 'false', unmarked: 'unmarked'};

const signedText = (ownerId: string, {method, target, idempotencyKey, workspace}: CallerRequest): string =>
	JSON.stringify([ownerId, method, target, workspace, idempotencyKey]);

/** Creates the forwarder of the entry `hostId`. */
export const createForwarder = ({hostId, members, sealer, attempts}: ForwarderOptions): Forwarder => ({
	async send(request, owner, options) {
		const member = members().find(({host}) => host.hostId === owner.hostId);
		if (!member) {
			return {type: 'not-written', reason: 'connect-failed'};
		}

		const {address, entryPort} = member.host;
		return attempts.send(request, {address, port: entryPort}, {
			...options,
			extraHeaders: {
				[forwardHeader]: sealer.sign(signedText(owner.hostId, request)),
				[firstSendHeader]: markHeaderValues[request.mark],
			},
		});
	},
	originOf(request) {
		if (request.forwardSignature === undefined) {
			return 'caller';
		}

		return sealer.verify(signedText(hostId, request), request.forwardSignature) ? 'entry' : 'forged';
	},
});
