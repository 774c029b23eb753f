/** The agent's view of the fleet, combined from the configuration, the host list and the membership. */

import {
	isPresent, messageVersion, orderForCaller, placeService,
	type AgentToEntry, type ConfigStore, type EntryHost, type FleetMember, type HostList, type Instance, type MemberView, type Random, type ServiceRecord,
} from '@egretwing/core';

/** Sources of the view. */
export type FleetStateOptions = {
	readonly store: ConfigStore;
	/** Returns the members as the membership protocol sees them. */
	readonly memberViews: () => readonly MemberView[];
	/** Returns true once the local configuration is complete. */
	readonly ready: () => boolean;
	readonly random: Random;
};

/** The agent's view of the fleet, and the messages that pass it to the entry. */
export type FleetState = {
	/** Applies a host list unless an equal or newer one was applied before; returns whether it was applied. */
	readonly applyHosts: (hosts: HostList) => boolean;
	/** The current list; its sequence is negative before the first one was applied. */
	readonly hostList: () => HostList;
	/** Entry hosts of the list. */
	readonly entryHosts: () => readonly EntryHost[];
	/** The current record of a service. */
	readonly service: (name: string) => ServiceRecord | undefined;
	/** Present members, followed by the listed hosts that are not present, which are marked as not usable. */
	readonly members: () => readonly FleetMember[];
	/** Usable entries for callers of `service`, in the order in which one caller should try them. */
	readonly entriesFor: (service: string, callerDataCentre?: string) => readonly FleetMember[];
	/** Messages that pass instances and members to the entry. */
	readonly hostMessages: () => readonly AgentToEntry[];
	/** All messages that a newly connected entry needs. */
	readonly snapshot: () => readonly AgentToEntry[];
};

export const createFleetState = (options: FleetStateOptions): FleetState => {
	const {store, memberViews, ready, random} = options;
	let hosts: HostList = {sequence: -1, hosts: []};
	let entryHosts: readonly EntryHost[] = [];
	let instances: readonly Instance[] = [];

	const service = (name: string): ServiceRecord | undefined => {
		const record = store.get('service', name);
		return record?.kind === 'service' ? record : undefined;
	};

	/** A listed host that the membership does not know or considers dead remains a member, but is not usable. */
	const members = (): readonly FleetMember[] => {
		const views = memberViews();
		const present = new Map(views.filter(view => isPresent(view)).map(view => [view.host.hostId, view]));
		const absent = entryHosts.filter(host => !present.has(host.hostId));
		const incarnations = new Map(views.map(({host, entryIncarnation}) => [host.hostId, entryIncarnation]));
		return [
			...[...present.values()].map(({host, entryIncarnation, usable}) => ({host, incarnation: entryIncarnation, usable})),
			...absent.map(host => ({host, incarnation: incarnations.get(host.hostId) ?? 0, usable: false})),
		];
	};

	const hostMessages = (): readonly AgentToEntry[] => [
		{
			type: 'instances', version: messageVersion, sequence: Math.max(0, hosts.sequence), instances,
		},
		{type: 'members', version: messageVersion, members: members()},
	];

	return {
		applyHosts(next) {
			if (next.sequence <= hosts.sequence) {
				return false;
			}

			hosts = next;
			entryHosts = next.hosts.filter(host => host.role === 'entry');
			instances = next.hosts.filter(host => host.role === 'backend');
			return true;
		},
		hostList: () => hosts,
		entryHosts: () => entryHosts,
		service,
		members,
		entriesFor(name, callerDataCentre) {
			const usable = members().filter(member => member.usable);
			const byHostId = new Map(usable.map(member => [member.host.hostId, member]));
			const size = {
				service: name,
				instances: instances.filter(instance => instance.service === name && instance.state === 'live').length,
				slotsPerInstance: service(name)?.slotsPerInstance ?? 1,
			};
			const entries = usable.map(({host}) => ({
				hostId: host.hostId, dataCentre: host.dataCentre, weight: 1, usable: true,
			}));
			return orderForCaller(placeService(size, entries), random, callerDataCentre).map(({hostId}) => byHostId.get(hostId)!);
		},
		hostMessages,
		snapshot: () => [
			{
				type: 'config', version: messageVersion, records: [...store.records()], ready: ready(),
			},
			...hostMessages(),
		],
	};
};
