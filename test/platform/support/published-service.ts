/** A service for tests with gateways as processes: its configuration in the store, an instance that records its callers, and requests. */

import http from 'node:http';
import {listen} from '@egretwing/node';
import {platformHeaderNames as names} from '../../../platform/names.ts';
import {gatewayPorts} from '../soak/gateways.ts';
import type {SoakStore} from '../soak/store.ts';

const hostName = 'service.example';
const instancePort = 8000;

/** Writes a configuration with a route and a service for each name. */
export const configure = (store: SoakStore, version: number, routeNames: readonly string[]): void => {
	store.put('op/config', {
		version: version.toString(16).padStart(8, '0'),
		routes: routeNames.map(name => ({
			name, host: hostName, prefix: `/${name}/`, route_type: 'safe', timeout_ms: 1000, target_latency_ms: 800, max_attempts: 2, priority: 1, service: name,
		})),
		services: routeNames.map(name => ({name, health_check_path: '/health', max_connections: 400})),
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 5000, idle_timeout_ms: 8000,
		},
	});
};

/** Sends a request to the gateway at `address` and returns the status code of the answer. */
export const get = async (address: string, path: string): Promise<number> => new Promise((resolve, reject) => {
	const request = http.get({
		host: address, port: gatewayPorts.front, path, headers: {host: hostName, [names.requestId]: `${address} ${path}`, [names.deadlineMs]: '1000'}, agent: false,
	}, response => {
		response.resume();
		resolve(response.statusCode ?? 0);
	});
	request.once('error', reject);
});

/** Starts and registers an instance that records from which addresses it gets requests. */
export const startRecordingInstance = async (store: SoakStore, address: string, {id, service, dataCentre}: {readonly id: string; readonly service: string; readonly dataCentre: string}) => {
	const callers: string[] = [];
	const server = http.createServer((request, response) => {
		callers.push(request.socket.remoteAddress ?? '');
		response.writeHead(200, {[names.requestId]: request.headers[names.requestId], [names.signature]: 's', 'content-length': 0}).end();
	});
	await listen(server, instancePort, address);
	store.put(`servers/${id}`, {
		address: `${address}:${instancePort}`,
		born: 1,
		info: {
			service, zone: dataCentre, version: '1', slots: 8,
		},
		status: {state: 'ready', sequence: 1, warmup_left_ms: 0},
	});
	return {
		callers,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};
