/** The entry's view of the fleet: the latest configuration, instances and members received from its agent. */

import {
	createRouteTable,
	type AgentToEntry, type FleetMember, type Instance, type RouteRecord, type RouteTable, type ServiceRecord,
} from '@egretwing/core';

/** The current view; read anew for each request. */
export type FleetView = {
	/** True once the entry holds a complete configuration and a host list. */
	readonly ready: () => boolean;
	readonly routes: () => RouteTable;
	readonly service: (name: string) => ServiceRecord | undefined;
	readonly services: () => ReadonlyMap<string, ServiceRecord>;
	/** Live instances of a service. */
	readonly instances: (service: string) => readonly Instance[];
	readonly members: () => readonly FleetMember[];
	/** Highest revision among the records in force. */
	readonly revision: () => number;
	/** Applies a message from the agent. */
	readonly apply: (message: AgentToEntry) => void;
};

/** Creates an empty view; it becomes ready through messages from the agent. */
export const createFleetView = (): FleetView => {
	const services = new Map<string, ServiceRecord>();
	const routes = new Map<string, RouteRecord>();
	const revisions = new Map<string, number>();
	let instancesByService = new Map<string, Instance[]>();
	let members: readonly FleetMember[] = [];
	let table = createRouteTable([]);
	let hasConfig = false;
	let instancesSequence = 0;
	let revision = 0;

	const applyRecords = (message: Extract<AgentToEntry, {type: 'config'}>): void => {
		for (const record of message.records) {
			const kind = record.kind === 'removed' ? record.removedKind : record.kind;
			const id = `${kind}/${record.name}`;
			if (record.revision < (revisions.get(id) ?? 0)) {
				continue;
			}

			revisions.set(id, record.revision);
			revision = Math.max(revision, record.revision);
			switch (record.kind) {
				case 'service': {
					services.set(record.name, record);
					break;
				}

				case 'route': {
					routes.set(record.name, record);
					break;
				}

				case 'removed': {
					(record.removedKind === 'service' ? services : routes).delete(record.name);
					break;
				}
			}
		}

		table = createRouteTable([...routes.values()]);
		hasConfig ||= message.ready;
	};

	/** Ignores older lists: an agent that has just started may hold an older list than this entry, or none. */
	const applyInstances = ({sequence, instances}: Extract<AgentToEntry, {type: 'instances'}>): void => {
		if (sequence === 0 || sequence < instancesSequence) {
			return;
		}

		instancesSequence = sequence;
		instancesByService = new Map();
		for (const instance of instances) {
			const same = instancesByService.get(instance.service) ?? [];
			same.push(instance);
			instancesByService.set(instance.service, same);
		}
	};

	return {
		ready: () => hasConfig && instancesSequence > 0,
		routes: () => table,
		service: name => services.get(name),
		services: () => services,
		instances: service => instancesByService.get(service) ?? [],
		members: () => members,
		revision: () => revision,
		apply(message) {
			switch (message.type) {
				case 'config': {
					applyRecords(message);
					break;
				}

				case 'instances': {
					applyInstances(message);
					break;
				}

				case 'members': {
					members = message.members;
					break;
				}

				case 'delivered': {
					break;
				}
			}
		},
	};
};
