/** Gateways that synchronise their catalogues over a simulated network, without I/O. */

import {
	createCatalogue, createRandom, createCatalogueSync,
	type Catalogue, type FleetConfig, type InstanceEntry, type CatalogueSync, type CatalogueMessage, type CatalogueSend,
} from '@egretwing/core';

/** Time that a message takes. */
const delayMs = 2;

/** A configuration without routes. */
export const config = (version: number): FleetConfig => ({
	version,
	routes: [],
	services: [],
	limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
});

/** An instance that is ready. */
export const entry = (instanceId: string, revision: number): InstanceEntry => ({
	instanceId,
	revision,
	record: {
		service: 's', address: '10.0.0.1', port: 80, dataCentre: 'a', slots: 1, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
	},
});

type Node = {readonly id: string; readonly catalogue: Catalogue; readonly sync: CatalogueSync};

/** Gateways on a network that drops the messages for which `isLost` returns true. */
export const createFleet = (size: number, isLost: (from: string, send: CatalogueSend) => boolean = () => false, seed = 0) => {
	const ids = Array.from({length: size}, (_, index) => `g-${index}`);
	const flight: Array<{readonly atMs: number; readonly from: string; readonly to: string; readonly message: CatalogueMessage}> = [];
	const sent: CatalogueMessage[] = [];
	const receivers: string[] = [];
	let nowMs = 0;
	const suspendedIds = new Set<string>();
	const createNode = (id: string): Node => {
		const index = ids.indexOf(id);
		const catalogue = createCatalogue();
		const sync = createCatalogueSync({
			selfId: id,
			catalogue,
			random: createRandom((seed * 1000) + index + 1),
			peerIds: () => ids.filter(other => other !== id),
			localPeerIds: () => ids.filter((other, place) => other !== id && place % 3 === index % 3),
			dataCentreOf: peerId => `dc-${ids.indexOf(peerId) % 3}`,
			isReceivingFrom: () => false,
			onChange: () => undefined,
		});
		return {id, catalogue, sync};
	};

	const nodes = new Map<string, Node>(ids.map(id => [id, createNode(id)]));

	const post = (from: string, sends: readonly CatalogueSend[]): void => {
		for (const send of sends) {
			sent.push(send.message);
			receivers.push(send.to);
			if (!isLost(from, send) && !suspendedIds.has(send.to)) {
				flight.push({
					atMs: nowMs + delayMs, from, to: send.to, message: send.message,
				});
			}
		}
	};

	const runUntil = (endMs: number): void => {
		for (; nowMs < endMs; nowMs++) {
			for (const each of flight.splice(0)) {
				if (each.atMs > nowMs) {
					flight.push(each);
				} else {
					post(each.to, nodes.get(each.to)!.sync.receive(each.from, each.message, nowMs));
				}
			}

			if (nowMs % 100 === 0) {
				for (const {id, catalogue, sync} of nodes.values()) {
					if (!suspendedIds.has(id)) {
						catalogue.tick(nowMs);
						post(id, sync.tick(nowMs));
					}
				}
			}
		}
	};

	const read = (id: string, storeRead: Parameters<CatalogueSync['applyStoreRead']>[0]): void => {
		post(id, nodes.get(id)!.sync.applyStoreRead(storeRead, nowMs));
	};

	return {
		nodes,
		sent,
		receivers,
		runUntil,
		read,
		/** Holds back the gateway until it is resumed; what is sent to it meanwhile is lost, as with connections that are given up. */
		suspend(id: string) {
			suspendedIds.add(id);
		},
		resume(id: string) {
			suspendedIds.delete(id);
		},
		/** Starts the gateway anew, without what it knew and what was sent to it. */
		restart(id: string) {
			nodes.set(id, createNode(id));
			flight.splice(0, flight.length, ...flight.filter(({to}) => to !== id));
		},
	};
};

/** Number of different states among the gateways. */
export const agree = (nodes: ReadonlyMap<string, Node>): number => new Set(Array.from(nodes.values(), ({catalogue}) => JSON.stringify(catalogue.digest()))).size;
