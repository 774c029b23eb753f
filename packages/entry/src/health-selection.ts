/** Chooses among instances by their standing: those in use first, spared ones when no other has room. */

import type {Instance, Random, Standing} from '@egretwing/core';
import type {EntryHealth} from './health.ts';
import type {CallerRequest} from './request.ts';
import type {Reservation, Selection} from './selection.ts';
import type {View} from './view.ts';

/** Creates a selection that takes the less loaded of two instances that are in use. */
export const createHealthSelection = (view: View, health: Pick<EntryHealth, 'standing' | 'nextTrial'>, random: Random): Selection => {
	const inFlight = new Map<string, number>();
	const count = (instance: Instance): number => inFlight.get(instance.hostId) ?? 0;

	const hold = (instance: Instance): Reservation => {
		inFlight.set(instance.hostId, count(instance) + 1);
		return {
			instance,
			release() {
				inFlight.set(instance.hostId, count(instance) - 1);
			},
		};
	};

	/** An instance that starts slowly is offered as often as its weight says. */
	const isOffered = (standing: Standing): boolean => standing.kind === 'use' && (standing.weight >= 1 || random.next() < standing.weight);

	const pickOf = (instances: readonly Instance[]): Instance | undefined => {
		const first = instances[Math.floor(random.next() * instances.length)];
		const second = instances[Math.floor(random.next() * instances.length)];
		return first && second && count(second) < count(first) ? second : first;
	};

	const choose = (request: CallerRequest, tried: ReadonlySet<string>): Instance | undefined => {
		const {name, slotsPerInstance} = request.service;
		const candidates = view.instances(name)
			.filter(instance => instance.state === 'live' && !tried.has(instance.hostId));
		const trialId = request.route.semantics === 'idempotent' && !request.hasBody && tried.size === 0 ? health.nextTrial(name) : undefined;
		const trial = candidates.find(instance => instance.hostId === trialId);
		if (trial) {
			return trial;
		}

		const standings = new Map(candidates.map(instance => [instance, health.standing(name, instance.hostId)]));
		const ofKind = (kind: Standing['kind']): readonly Instance[] => candidates.filter(instance => standings.get(instance)?.kind === kind);
		const used = ofKind('use');
		const hasRoom = used.some(instance => count(instance) < slotsPerInstance);
		const offered = used.filter(instance => isOffered(standings.get(instance)!));
		const spared = ofKind('spared');
		if (used.length === 0 || (!hasRoom && spared.length > 0)) {
			return pickOf([...used, ...spared]);
		}

		return pickOf(offered.length > 0 ? offered : used);
	};

	return {
		reserve(request, tried) {
			const instance = choose(request, tried);
			return instance && hold(instance);
		},
	};
};
