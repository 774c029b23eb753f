/** Chooses the instance for an attempt. */

import type {Instance, Random} from '@egretwing/core';
import type {CallerRequest} from './request.ts';
import type {View} from './view.ts';

/** An instance held for one attempt. */
export type Reservation = {
	readonly instance: Instance;
	/** Gives the place back once the attempt has ended. */
	readonly release: () => void;
};

/** Chooses among the instances that may take a request. */
export type Selection = {
	/** Reserves an instance that is not in `tried`; `undefined` when there is none. */
	readonly reserve: (request: CallerRequest, tried: ReadonlySet<string>) => Reservation | undefined;
};

/** Creates a selection that takes the less loaded of two random live instances. */
export const createSelection = (view: View, random: Random): Selection => {
	const inFlight = new Map<string, number>();
	const count = (instance: Instance): number => inFlight.get(instance.hostId) ?? 0;
	const pick = (instances: readonly Instance[]): Instance | undefined => instances[Math.floor(random.next() * instances.length)];
	return {
		reserve(request, tried) {
			const candidates = view.instances(request.service.name)
				.filter(instance => instance.state === 'live' && !tried.has(instance.hostId));
			const first = pick(candidates);
			const second = pick(candidates);
			if (!first || !second) {
				return undefined;
			}

			const instance = count(second) < count(first) ? second : first;
			inFlight.set(instance.hostId, count(instance) + 1);
			return {
				instance,
				release() {
					inFlight.set(instance.hostId, count(instance) - 1);
				},
			};
		},
	};
};
