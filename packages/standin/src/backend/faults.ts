/** Faults that are active at one instance. */

import type {Random} from '@egretwing/core';
import * as z from 'zod';
import type {InstanceFault, InstanceFaultType} from './types.ts';

const share = z.number().min(0).max(1).default(1);
const durationMs = z.number().min(0);

/** Schema of a fault in an operator's command. */
export const instanceFaultSchema: z.ZodType<InstanceFault> = z.discriminatedUnion('type', [
	z.strictObject({type: z.literal('ok')}),
	z.strictObject({type: z.literal('stall'), share}),
	z.strictObject({type: z.literal('slow'), delayMs: durationMs, share}),
	z.strictObject({type: z.literal('errorRate'), share}),
	z.strictObject({type: z.literal('flap'), periodMs: z.number().positive()}),
	z.strictObject({type: z.literal('refuseConnect')}),
	z.strictObject({type: z.literal('down')}),
	z.strictObject({type: z.literal('resetAfterWrite'), share}),
	z.strictObject({type: z.literal('halfAnswer'), share}),
	z.strictObject({type: z.literal('longAnswer'), share}),
	z.strictObject({type: z.literal('crash'), pathPart: z.string().min(1), restartMs: durationMs.default(2000)}),
	z.strictObject({type: z.literal('lieHealthy')}),
	z.strictObject({type: z.literal('lieSick')}),
	z.strictObject({
		type: z.literal('cut'), sources: z.array(z.string()), direction: z.enum(['requests', 'answers', 'both']).default('both'),
	}),
	z.strictObject({type: z.literal('drain')}),
	z.strictObject({type: z.literal('shed')}),
]);

type FaultOf<Type extends InstanceFaultType> = Extract<InstanceFault, {readonly type: Type}>;

/** Active faults, at most one of each type. */
export type Faults = {
	readonly set: (fault: InstanceFault) => void;
	readonly has: (type: InstanceFaultType) => boolean;
	readonly get: <Type extends InstanceFaultType>(type: Type) => FaultOf<Type> | undefined;
	/** Draws whether a fault with a share applies to this request. */
	readonly applies: (type: 'stall' | 'slow' | 'errorRate' | 'resetAfterWrite' | 'halfAnswer' | 'longAnswer') => boolean;
	/** Resolves when the faults next change. */
	readonly changed: () => Promise<void>;
	readonly isCut: (source: string, direction: 'requests' | 'answers') => boolean;
};

/** Creates an empty set of faults. */
export const createFaults = (random: Random): Faults => {
	const faults = new Map<InstanceFaultType, InstanceFault>();
	let listeners: Array<() => void> = [];

	const get = <Type extends InstanceFaultType>(type: Type): FaultOf<Type> | undefined =>
		faults.get(type) as FaultOf<Type> | undefined;

	return {
		set(fault) {
			if (fault.type === 'ok') {
				faults.clear();
			} else {
				faults.set(fault.type, fault);
			}

			const previousListeners = listeners;
			listeners = [];
			for (const listener of previousListeners) {
				listener();
			}
		},
		has: type => faults.has(type),
		get,
		applies(type) {
			const fault = get(type);
			return fault !== undefined && random.next() < fault.share;
		},
		changed: async () => new Promise(resolve => {
			listeners.push(resolve);
		}),
		isCut(source, direction) {
			const cut = get('cut');
			return cut !== undefined
				&& cut.sources.includes(source)
				&& (cut.direction === 'both' || cut.direction === direction);
		},
	};
};
