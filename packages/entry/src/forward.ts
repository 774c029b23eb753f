/**
 * Passes a request with an idempotency key to the entry that owns the key.
 *
 * The request goes to the callers' port of the owner, marked with a header that only an entry of the fleet can make. A
 * marked request is never passed on again.
 */

import type {FleetMember, KeyOwner, SendMark} from '@egretwing/core';
import type {Sealer} from '@egretwing/node';
import type {AttemptOptions, AttemptOutcome, Attempts} from './attempt.ts';
import {firstSendHeader, forwardHeader} from './constants.ts';
import type {CallerRequest} from './request.ts';

/** Sends requests to peer entries. */
export type Forwarder = {
	/** Passes `request` on; `not-written` when the owner is not known or can't be reached. */
	readonly send: (request: CallerRequest, owner: KeyOwner, options: Pick<AttemptOptions, 'signal' | 'mayWrite'>) => Promise<AttemptOutcome>;
	/** Whether the request comes from a caller, from an entry, or pretends to. */
	readonly originOf: (request: CallerRequest) => 'caller' | 'entry' | 'forged';
};

/** What the forwarder needs. */
export type ForwarderParts = {
	readonly hostId: string;
	readonly members: () => readonly FleetMember[];
	readonly sealer: Pick<Sealer, 'sign' | 'verify'>;
	readonly attempts: Attempts;
};

/** Header text of each mark; the one of `unmarked` reads as no mark. */
const markTexts: Readonly<Record<SendMark, string>> = {first: 'true', resend: 'false', unmarked: 'unmarked'};

const provenText = (ownerId: string, {method, target, idempotencyKey, workspace}: CallerRequest): string =>
	JSON.stringify([ownerId, method, target, workspace, idempotencyKey]);

/** Creates the forwarder of the entry `hostId`. */
export const createForwarder = ({hostId, members, sealer, attempts}: ForwarderParts): Forwarder => ({
	async send(request, owner, options) {
		const member = members().find(({host}) => host.hostId === owner.hostId);
		if (!member) {
			return {type: 'not-written', reason: 'connect-failed'};
		}

		const {address, entryPort} = member.host;
		return attempts.send(request, {address, port: entryPort}, {
			...options,
			extraHeaders: {
				[forwardHeader]: sealer.sign(provenText(owner.hostId, request)),
				[firstSendHeader]: markTexts[request.mark],
			},
		});
	},
	originOf(request) {
		if (request.forwardProof === undefined) {
			return 'caller';
		}

		return sealer.verify(provenText(hostId, request), request.forwardProof) ? 'entry' : 'forged';
	},
});
