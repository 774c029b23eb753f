/** Two example deployments at a small size, on loopback addresses. */

import {createEntryHost, type FleetOptions, type InstanceSettings} from './fleet.ts';

const dataCentres = ['a', 'b', 'c'] as const;
const backendPort = 9000;

/** A service of a deployment. */
export type DeploymentService = {
	readonly name: string;
	readonly instances: number;
	readonly pathPrefix: string;
	readonly semantics: 'idempotent' | 'at-most-once';
	readonly falseEjectionsPerInstanceDay: number;
};

/** A deployment of one operator. */
export type Deployment = {
	readonly region: string;
	/** Third octet of the addresses of entry hosts; that of instances is one higher. */
	readonly network: number;
	readonly slots: number;
	readonly services: readonly DeploymentService[];
};

const lowFalseEjectionRate = 0.01;
const highFalseEjectionRate = 10;

/** Chorale Tier Labs: avoiding false ejections matters more than fast detection. */
export const gaNorth: Deployment = {
	region: 'ga-north',
	network: 1,
	slots: 4,
	services: [
		{
			name: 'rosterview', instances: 4, pathPrefix: '/rosters', semantics: 'idempotent', falseEjectionsPerInstanceDay: lowFalseEjectionRate,
		},
		{
			name: 'seatledger', instances: 5, pathPrefix: '/seats', semantics: 'at-most-once', falseEjectionsPerInstanceDay: lowFalseEjectionRate,
		},
		{
			name: 'scorevault', instances: 3, pathPrefix: '/recordings', semantics: 'idempotent', falseEjectionsPerInstanceDay: lowFalseEjectionRate,
		},
	],
};

/** Dhaar Sharpening Franchise Office: fast detection matters more than avoiding false ejections. */
export const bagmati: Deployment = {
	region: 'bagmati',
	network: 3,
	slots: 2,
	services: [
		{
			name: 'route-view', instances: 4, pathPrefix: '/routes', semantics: 'idempotent', falseEjectionsPerInstanceDay: highFalseEjectionRate,
		},
		{
			name: 'settle', instances: 5, pathPrefix: '/payments', semantics: 'at-most-once', falseEjectionsPerInstanceDay: highFalseEjectionRate,
		},
		{
			name: 'ledger-drop', instances: 3, pathPrefix: '/recordings', semantics: 'idempotent', falseEjectionsPerInstanceDay: highFalseEjectionRate,
		},
	],
};

/** Data centre of the host or instance numbered `index`: made-up names, assigned in turn. */
const dataCentreOf = ({region}: Deployment, index: number): string => `${region}-${dataCentres[index % dataCentres.length]}`;

const createInstances = (deployment: Deployment): readonly InstanceSettings[] => {
	const {network, region, slots} = deployment;
	const ids = deployment.services.flatMap(({name, instances}) =>
		Array.from({length: instances}, (_, index) => ({service: name, hostId: `${name}-${index + 1}`})));
	return ids.map(({service, hostId}, index) => ({
		hostId, service, address: `127.0.${network + 1}.${index + 1}`, port: backendPort, slots, region, dataCentre: dataCentreOf(deployment, index),
	}));
};

/** Options of `startFleet` for a deployment with `hostCount` entry hosts. */
export const createFleetOptions = (deployment: Deployment, hostCount: number): FleetOptions => ({
	hosts: Array.from({length: hostCount}, (_, index) =>
		createEntryHost(`${deployment.region}-${index + 1}`, `127.0.${deployment.network}.${index + 1}`, deployment.region, dataCentreOf(deployment, index))),
	instances: createInstances(deployment),
	records: deployment.services.flatMap(({name, pathPrefix, semantics, falseEjectionsPerInstanceDay}) => [
		{
			kind: 'service',
			schemaVersion: 2,
			name,
			revision: 1,
			falseEjectionsPerInstanceDay,
			slotsPerInstance: deployment.slots,
			notRunStatusCodes: [503],
			workspaceShare: 1,
			stallThresholdMs: 500,
			requestTimeoutMs: 5000,
		},
		{
			kind: 'route', schemaVersion: 2, name, revision: 1, pathPrefix, service: name, semantics,
		},
	]),
});
