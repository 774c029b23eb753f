/** Parses a request of a caller for the stages of the pipeline. */

import type http from 'node:http';
import {Err, Ok, type Result} from 'ts-results-es';
import type {
	ErrorKind, RouteRecord, SendMark, ServiceRecord,
} from '@egretwing/core';
import {
	deadlineHeader, firstSendHeader, forwardHeader, idempotencyKeyHeader, workspaceHeader,
} from './constants.ts';
import {isUnambiguous} from './message-check.ts';
import type {FleetView} from './fleet-view.ts';

/** A routed request. */
export type CallerRequest = {
	readonly method: string;
	/** Path and query, as received. */
	readonly target: string;
	readonly path: string;
	readonly route: RouteRecord;
	readonly service: ServiceRecord;
	/** Empty if the caller names none. */
	readonly workspace: string;
	readonly idempotencyKey: string | undefined;
	readonly mark: SendMark;
	/** Signature of the entry that forwarded the request. */
	readonly forwardSignature: string | undefined;
	readonly receivedAtMs: number;
	readonly deadlineAtMs: number;
	/** True if the caller set a deadline. */
	readonly hasDeadline: boolean;
	readonly hasBody: boolean;
	readonly incoming: http.IncomingMessage;
};

const headerText = (incoming: http.IncomingMessage, name: string): string | undefined => {
	const value = incoming.headers[name];
	return Array.isArray(value) ? value[0] : value;
};

const marks: Readonly<Record<string, SendMark>> = {true: 'first', false: 'resend'};

/** Whether the caller marked the request as a first send or as a resend. */
export const readMark = (incoming: http.IncomingMessage): SendMark => marks[headerText(incoming, firstSendHeader) ?? ''] ?? 'unmarked';

const deadlineOf = (incoming: http.IncomingMessage, service: ServiceRecord, nowMs: number): Result<number, ErrorKind> => {
	const header = headerText(incoming, deadlineHeader);
	if (header === undefined) {
		return Ok(nowMs + service.requestTimeoutMs);
	}

	const leftMs = Number(header);
	if (!Number.isFinite(leftMs) || leftMs < 0) {
		return Err('malformed-request');
	}

	return Ok(nowMs + Math.min(leftMs, service.requestTimeoutMs));
};

/** Determines the route, service and deadline of a request; the error is the kind of refusal to send. */
export const readRequest = (incoming: http.IncomingMessage, view: FleetView, nowMs: number): Result<CallerRequest, ErrorKind> => {
	if (!isUnambiguous(incoming)) {
		return Err('malformed-request');
	}

	if (!view.ready()) {
		return Err('not-ready');
	}

	const method = incoming.method ?? 'GET';
	const target = incoming.url ?? '/';
	const [path = '/'] = target.split('?', 1);
	const route = view.routes().match(method, path);
	const service = route && view.service(route.service);
	if (!route || !service) {
		return Err('no-route');
	}

	if (Number(incoming.headers['content-length'] ?? 0) > route.maxBodyBytes) {
		return Err('request-too-large');
	}

	const deadline = deadlineOf(incoming, service, nowMs);
	return deadline.map(deadlineAtMs => ({
		method,
		target,
		path,
		route,
		service,
		workspace: headerText(incoming, workspaceHeader) ?? '',
		idempotencyKey: headerText(incoming, idempotencyKeyHeader),
		mark: readMark(incoming),
		forwardSignature: headerText(incoming, forwardHeader),
		receivedAtMs: nowMs,
		deadlineAtMs,
		hasDeadline: incoming.headers[deadlineHeader] !== undefined,
		hasBody: Number(incoming.headers['content-length'] ?? 0) > 0 || incoming.headers['transfer-encoding'] !== undefined,
		incoming,
	}));
};
