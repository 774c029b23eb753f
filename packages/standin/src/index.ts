/** Stand-ins for the platform and for backend servers, used by tests, the demo and the benchmarks. */

export {startPlatform} from './platform/server.ts';
export type {Platform} from './platform/server.ts';
export type {PlatformFault, ReadCounts} from './platform/types.ts';
export {startBackend} from './backend/server.ts';
export type {Backend} from './backend/server.ts';
export type {
	CutDirection, InstanceCounts, InstanceFault, InstanceFaultType, Run,
} from './backend/types.ts';
export {recordingChunkBytes, recordingChunks, recordingDigest} from './backend/recordings.ts';
export {backendSettingsSchema, instanceSettingsSchema, platformSettingsSchema} from './settings.ts';
export type {BackendSettings, InstanceSettings, PlatformSettings} from './settings.ts';
