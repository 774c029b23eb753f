/** The envelope of a message between agents: authenticated, numbered and bound to its receiver. */

import type {Buffer} from 'node:buffer';
import {Err, Ok, type Result} from 'ts-results-es';
import * as z from 'zod';
import {
	decodeValue, encodeValue, type PeerEndpoint, type Sealer,
} from '@egretwing/node';
import {createReplayGuard} from './replay-guard.ts';

const envelopeVersion = 1;

/** Why an envelope was rejected. */
export type EnvelopeError = 'wrong-seal' | 'undecodable' | 'wrong-version' | 'wrong-receiver' | 'replayed';

/** An opened envelope. */
export type OpenedEnvelope = {
	readonly hostId: string;
	readonly endpoint: PeerEndpoint;
	readonly message: unknown;
};

/** Seals and opens the envelopes of one agent. */
export type EnvelopeCodec = {
	readonly seal: (to: PeerEndpoint, message: unknown) => Buffer;
	readonly open: (bytes: Uint8Array) => Result<OpenedEnvelope, EnvelopeError>;
};

/** Identity and keys of the agent. */
export type EnvelopeOptions = {
	readonly hostId: string;
	readonly endpoint: PeerEndpoint;
	readonly startedMs: number;
	readonly sealer: Sealer;
};

const envelopeSchema = z.tuple([
	z.literal(envelopeVersion), z.string(), z.string(), z.int(), z.string(), z.number(), z.int(), z.unknown(),
]);

const formatEndpoint = ({address, peerPort}: PeerEndpoint): string => `${address}:${peerPort}`;

/** Creates the codec of one agent. */
export const createEnvelopeCodec = (options: EnvelopeOptions): EnvelopeCodec => {
	const {hostId, endpoint, startedMs, sealer} = options;
	const guard = createReplayGuard();
	let lastSequence = 0;
	return {
		seal: (to, message) => sealer.seal(encodeValue([
			envelopeVersion, hostId, endpoint.address, endpoint.peerPort, formatEndpoint(to), startedMs, ++lastSequence, message,
		])),
		open(bytes) {
			const payload = sealer.open(bytes);
			if (payload.isErr()) {
				return payload;
			}

			const decoded = decodeValue(payload.value);
			if (decoded.isErr()) {
				return decoded;
			}

			const parsed = envelopeSchema.safeParse(decoded.value);
			if (!parsed.success) {
				return Err('wrong-version');
			}

			const [, sender, address, peerPort, receiver, senderStartedMs, sequence, message] = parsed.data;
			if (receiver !== formatEndpoint(endpoint)) {
				return Err('wrong-receiver');
			}

			if (!guard.admit({hostId: sender, startedMs: senderStartedMs, sequence})) {
				return Err('replayed');
			}

			return Ok({hostId: sender, endpoint: {address, peerPort}, message});
		},
	};
};
