/** Registered instances of a large fleet. */

import type {InstanceEntry} from '@egretwing/core';

const serviceCount = 6;
const dataCentreCount = 3;
const addressesPerBlock = 250;
const bornAtMs = 1_800_000_000_000;

/** Creates `count` instances with ascending revisions. */
export const createInstances = (count: number): readonly InstanceEntry[] => Array.from({length: count}, (_, index) => ({
	instanceId: `service-${index % serviceCount}-${Math.floor(index / serviceCount)}`,
	revision: index + 1,
	record: {
		service: `service-${index % serviceCount}`,
		address: `10.${index % dataCentreCount}.${Math.floor(index / addressesPerBlock)}.${index % addressesPerBlock}`,
		port: 8000 + (index % serviceCount),
		dataCentre: `dc-${index % dataCentreCount}`,
		slots: 2 + (index % 5),
		state: 'ready',
		warmupLeftMs: index % 7 * 100,
		bornAtMs: bornAtMs + (index * 137),
	},
}));
