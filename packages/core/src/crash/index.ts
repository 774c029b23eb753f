/** Decisions about requests that crash the instances that run them. */

export {createCrashMemory} from './crash-memory.ts';
export type {CrashMemory} from './crash-memory.ts';
export {createFingerprint} from './fingerprint.ts';
export type {FingerprintParts} from './fingerprint.ts';
export type {CrashReport} from './types.ts';
