/** The host's view of the world: records in force, host list, own entry. */

import {
	messageVersion, parseRecord,
	type AgentToEntry, type ConfigPage, type ConfigRecord, type EntryHost, type FleetMember, type HostList, type Instance, type RecordIssue, type ServiceRecord,
} from '@egretwing/core';

/** The agent's state and what it tells the entry. */
export type World = {
	/** Takes a page of the feed; returns the records that were newer. */
	readonly applyPage: (page: ConfigPage, onRefused: (written: unknown, issues: readonly RecordIssue[]) => void) => readonly ConfigRecord[];
	readonly applyHosts: (hosts: HostList) => void;
	readonly ready: () => boolean;
	readonly records: () => readonly ConfigRecord[];
	/** The record in force of a service. */
	readonly service: (name: string) => ServiceRecord | undefined;
	readonly members: () => readonly FleetMember[];
	/** Everything a freshly connected entry needs. */
	readonly snapshot: () => readonly AgentToEntry[];
};

const recordId = (record: ConfigRecord): string =>
	`${record.kind === 'removed' ? record.removedKind : record.kind}/${record.name}`;

/** Creates an empty world. */
export const createWorld = (): World => {
	const records = new Map<string, ConfigRecord>();
	let hosts: HostList = {sequence: 0, hosts: []};
	let ready = false;

	const members = (): readonly FleetMember[] => hosts.hosts
		.filter((host): host is EntryHost => host.role === 'entry')
		.map(host => ({host, incarnation: 0, usable: host.state === 'live'}));

	return {
		applyPage(page, onRefused) {
			const newer: ConfigRecord[] = [];
			for (const written of page.records) {
				const parsed = parseRecord(written);
				if (parsed.isErr()) {
					onRefused(written, parsed.error);
					continue;
				}

				const id = recordId(parsed.value);
				if (parsed.value.revision > (records.get(id)?.revision ?? 0)) {
					records.set(id, parsed.value);
					newer.push(parsed.value);
				}
			}

			ready ||= page.complete && records.size > 0;
			return newer;
		},
		applyHosts(next) {
			if (next.sequence > hosts.sequence) {
				hosts = next;
			}
		},
		ready: () => ready,
		records: () => [...records.values()],
		service(name) {
			const record = records.get(`service/${name}`);
			return record?.kind === 'service' ? record : undefined;
		},
		members,
		snapshot: () => [
			{
				type: 'config', version: messageVersion, records: [...records.values()], ready,
			},
			{
				type: 'instances',
				version: messageVersion,
				sequence: hosts.sequence,
				instances: hosts.hosts.filter((host): host is Instance => host.role === 'backend'),
			},
			{type: 'members', version: messageVersion, members: members()},
		],
	};
};
