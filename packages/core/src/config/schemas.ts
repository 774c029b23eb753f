/** Schemas of all versions of the configuration records, and the conversion of older versions to the current shape. */

import {Err, Ok, type Result} from 'ts-results-es';
import * as z from 'zod';
import type {
	ConfigRecord, RecordIssue, RouteRecord, ServiceRecord,
} from './types.ts';

const msPerSecond = 1000;
const percent = 100;
const bytesPerMebibyte = 1_048_576;

const name = z.string().regex(/^[a-z\d][a-z\d._\-]*$/v, 'use lower-case letters, digits, ".", "_" and "-"');
const revision = z.int().min(1);
const share = z.number().min(0).max(1);
const positiveMs = z.number().positive();
const methods = z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).default([]);
const pathPrefix = z.string().startsWith('/', 'start the path with "/"');

const serviceV1 = z.strictObject({
	kind: z.literal('service'),
	schemaVersion: z.literal(1),
	name,
	revision,
	floorPercent: z.number().min(0).max(percent).default(50),
	falseEjectionsPerInstanceDay: z.number().positive().default(0.01),
	slots: z.int().min(1).default(4),
	connections: z.int().min(1).default(400),
	timeoutSeconds: z.number().positive().default(10),
});

const serviceV2 = z.strictObject({
	kind: z.literal('service'),
	schemaVersion: z.literal(2),
	name,
	revision,
	floorShare: share.default(0.5),
	falseEjectionsPerInstanceDay: z.number().positive().default(0.01),
	slotsPerInstance: z.int().min(1).default(4),
	connectionsPerInstance: z.int().min(1).default(400),
	connectTimeoutMs: positiveMs.default(1000),
	requestTimeoutMs: positiveMs.default(10_000),
	stallThresholdMs: positiveMs.default(1000),
	maxAttempts: z.int().min(1).max(10).default(3),
	retryBudgetShare: share.default(0.1),
	queueLength: z.int().min(0).default(64),
	queueWaitMs: z.number().min(0).default(500),
	workspaceShare: share.default(0.5),
	notRunStatusCodes: z.array(z.int().min(400).max(599)).default([]),
	keyLifetimeMs: positiveMs.default(600_000),
});

const routeV1 = z.strictObject({
	kind: z.literal('route'),
	schemaVersion: z.literal(1),
	name,
	revision,
	path: pathPrefix,
	methods,
	service: name,
	repeatable: z.boolean(),
});

const routeV2 = z.strictObject({
	kind: z.literal('route'),
	schemaVersion: z.literal(2),
	name,
	revision,
	pathPrefix,
	methods,
	service: name,
	semantics: z.enum(['idempotent', 'at-most-once']),
	maxBodyBytes: z.int().min(0).default(256 * bytesPerMebibyte),
});

const removed = z.strictObject({
	kind: z.literal('removed'),
	schemaVersion: z.union([z.literal(1), z.literal(2)]),
	removedKind: z.enum(['service', 'route']),
	name,
	revision,
});

const serviceSchema = z.discriminatedUnion('schemaVersion', [serviceV1, serviceV2]);
const routeSchema = z.discriminatedUnion('schemaVersion', [routeV1, routeV2]);
const recordSchema = z.discriminatedUnion('kind', [serviceSchema, routeSchema, removed]);

type WrittenRecord = z.output<typeof recordSchema>;

const serviceFromV1 = (written: z.output<typeof serviceV1>): ServiceRecord => {
	const {schemaVersion, ...rest} = serviceV2.parse({
		kind: 'service',
		schemaVersion: 2,
		name: written.name,
		revision: written.revision,
		floorShare: written.floorPercent / percent,
		falseEjectionsPerInstanceDay: written.falseEjectionsPerInstanceDay,
		slotsPerInstance: written.slots,
		connectionsPerInstance: written.connections,
		requestTimeoutMs: written.timeoutSeconds * msPerSecond,
	});
	return rest;
};

const routeFromV1 = (written: z.output<typeof routeV1>): RouteRecord => {
	const {schemaVersion, ...rest} = routeV2.parse({
		kind: 'route',
		schemaVersion: 2,
		name: written.name,
		revision: written.revision,
		pathPrefix: written.path,
		methods: written.methods,
		service: written.service,
		semantics: written.repeatable ? 'idempotent' : 'at-most-once',
	});
	return rest;
};

const upcast = (written: WrittenRecord): ConfigRecord => {
	switch (written.kind) {
		case 'service': {
			if (written.schemaVersion === 1) {
				return serviceFromV1(written);
			}

			const {schemaVersion, ...rest} = written;
			return rest;
		}

		case 'route': {
			if (written.schemaVersion === 1) {
				return routeFromV1(written);
			}

			const {schemaVersion, ...rest} = written;
			return rest;
		}

		case 'removed': {
			const {schemaVersion, ...rest} = written;
			return rest;
		}
	}
};

/** Validates a record of any known schema version and converts it to the current shape. */
export const parseRecord = (written: unknown): Result<ConfigRecord, readonly RecordIssue[]> => {
	const parsed = recordSchema.safeParse(written);
	if (!parsed.success) {
		const issues = parsed.error.issues.map(issue => ({field: issue.path.join('.'), message: issue.message}));
		return Err(issues);
	}

	return Ok(upcast(parsed.data));
};
