/** The host's view of the world, put together from the configuration, the host list and the membership. */

import {
	isPresent, messageVersion, orderForCaller, placeService,
	type AgentToEntry, type ConfigStore, type EntryHost, type FleetMember, type HostList, type Instance, type MemberView, type Random, type ServiceRecord,
} from '@egretwing/core';

/** Where the view comes from. */
export type WorldOptions = {
	readonly store: ConfigStore;
	/** Members as the membership sees them. */
	readonly memberViews: () => readonly MemberView[];
	/** True once a whole configuration is held. */
	readonly ready: () => boolean;
	readonly random: Random;
};

/** The agent's view and what it tells the entry. */
export type World = {
	/** Takes a host list unless an equal or newer one was seen; true when it was taken. */
	readonly applyHosts: (hosts: HostList) => boolean;
	/** The list held; its sequence is below 0 before any was taken. */
	readonly hostList: () => HostList;
	/** Entry hosts of the list. */
	readonly entryHosts: () => readonly EntryHost[];
	/** The record in force of a service. */
	readonly service: (name: string) => ServiceRecord | undefined;
	/** Present members and listed hosts. */
	readonly members: () => readonly FleetMember[];
	/** Usable entries for callers of `service`, in the order in which one caller should try them. */
	readonly entriesFor: (service: string, callerDataCentre?: string) => readonly FleetMember[];
	/** What the entry is told of hosts. */
	readonly hostMessages: () => readonly AgentToEntry[];
	/** Everything a freshly connected entry needs. */
	readonly snapshot: () => readonly AgentToEntry[];
};

/** Creates the view of one agent. */
export const createWorld = (options: WorldOptions): World => {
	const {store, memberViews, ready, random} = options;
	let hosts: HostList = {sequence: -1, hosts: []};
	let entryHosts: readonly EntryHost[] = [];
	let instances: readonly Instance[] = [];

	const service = (name: string): ServiceRecord | undefined => {
		const record = store.get('service', name);
		return record?.kind === 'service' ? record : undefined;
	};

	/** A listed host that the membership does not know or believes dead stays in the list, though not usable. */
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
