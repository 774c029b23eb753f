/** What the entry knows of the world: the last configuration, instances and members its agent sent. */

import {
	createRouteTable,
	type AgentToEntry, type FleetMember, type Instance, type RouteRecord, type RouteTable, type ServiceRecord,
} from '@egretwing/core';

/** The current view. Readers take it afresh for each request. */
export type View = {
	readonly ready: () => boolean;
	readonly routes: () => RouteTable;
	readonly service: (name: string) => ServiceRecord | undefined;
	readonly services: () => ReadonlyMap<string, ServiceRecord>;
	/** Live instances of a service. */
	readonly instances: (service: string) => readonly Instance[];
	readonly members: () => readonly FleetMember[];
	/** Highest revision among the records in force. */
	readonly revision: () => number;
	/** Takes a message of the agent into the view. */
	readonly apply: (message: AgentToEntry) => void;
};

/** Creates an empty view; it is not ready until the agent says so. */
export const createView = (): View => {
	const services = new Map<string, ServiceRecord>();
	const routes = new Map<string, RouteRecord>();
	const revisions = new Map<string, number>();
	let instancesByService = new Map<string, Instance[]>();
	let members: readonly FleetMember[] = [];
	let table = createRouteTable([]);
	let ready = false;
	let revision = 0;

	const applyRecords = (message: Extract<AgentToEntry, {type: 'config'}>): void => {
		for (const record of message.records) {
			const kind = record.kind === 'removed' ? record.removedKind : record.kind;
			const id = `${kind}/${record.name}`;
			if (record.revision <= (revisions.get(id) ?? 0)) {
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
		ready ||= message.ready;
	};

	const applyInstances = (instances: readonly Instance[]): void => {
		instancesByService = new Map();
		for (const instance of instances) {
			const same = instancesByService.get(instance.service) ?? [];
			same.push(instance);
			instancesByService.set(instance.service, same);
		}
	};

	return {
		ready: () => ready,
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
					applyInstances(message.instances);
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
