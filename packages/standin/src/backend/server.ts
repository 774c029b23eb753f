/** Backend stand-in: many instances in one process, with fault injection. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {createRandom, hashText} from '@egretwing/core';
import {listen, readJson, sendJson} from '@egretwing/node';
import * as z from 'zod';
import {createOperatorListener, maxCommandBytes, requestUrl} from '../http.ts';
import type {BackendSettings} from '../settings.ts';
import {instanceFaultSchema} from './faults.ts';
import {startInstance, type InstanceServer} from './instance.ts';
import {createRunLog} from './runs.ts';
import type {InstanceCounts, InstanceFault} from './types.ts';

const faultCommandSchema = z.strictObject({
	/** Ids of the instances that get the fault. */
	instances: z.array(z.string()).optional(),
	/** Name of a service whose instances all get the fault. */
	service: z.string().optional(),
	fault: instanceFaultSchema,
});

/** A running backend stand-in. */
export type Backend = {
	readonly operatorPort: number;
	readonly instances: ReadonlyMap<string, InstanceServer>;
	readonly setFault: (hostId: string, fault: InstanceFault) => Promise<void>;
	readonly close: () => Promise<void>;
};

/** Starts every instance of the settings. */
export const startBackend = async (settings: BackendSettings): Promise<Backend> => {
	const runLog = createRunLog();
	const instances = new Map<string, InstanceServer>();
	for (const instance of settings.instances) {
		const random = createRandom(settings.seed + hashText(instance.hostId));
		instances.set(instance.hostId, await startInstance(instance, runLog, random));
	}

	const setFault = async (hostId: string, fault: InstanceFault): Promise<void> => {
		const instance = instances.get(hostId);
		if (!instance) {
			throw new Error(`no instance named ${hostId}`);
		}

		await instance.setFault(fault);
	};

	const countAll = (): Readonly<Record<string, InstanceCounts>> =>
		Object.fromEntries([...instances].map(([hostId, instance]) => [hostId, instance.counts()]));

	const handleOperatorRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		switch (`${request.method} ${requestUrl(request).pathname}`) {
			case 'POST /v1/fault': {
				const command = faultCommandSchema.parse(await readJson(request, maxCommandBytes));
				const ofService = [...instances.values()]
					.filter(instance => instance.settings.service === command.service)
					.map(instance => instance.settings.hostId);
				const targetIds = [...command.instances ?? [], ...ofService];
				await Promise.all(targetIds.map(async hostId => setFault(hostId, command.fault)));
				sendJson(response, 200, {struck: targetIds, atMs: Date.now()});
				return;
			}

			case 'GET /v1/runs': {
				sendJson(response, 200, {runs: runLog.runs(), repeated: runLog.repeated(), instances: countAll()});
				return;
			}

			case 'GET /v1/counts': {
				sendJson(response, 200, {instances: countAll()});
				return;
			}

			default: {
				sendJson(response, 404, {error: 'unknown path'});
			}
		}
	};

	const operators = createOperatorListener(handleOperatorRequest);
	const operatorPort = await listen(operators, settings.operatorPort, settings.operatorAddress);

	return {
		operatorPort,
		instances,
		setFault,
		async close() {
			for (const instance of instances.values()) {
				instance.close();
			}

			operators.close();
			operators.closeAllConnections();
		},
	};
};
