/** Detection and containment of requests that crash the instances that run them. */

export {createCrashHistory} from './crash-history.ts';
export type {CrashHistory} from './crash-history.ts';
export {createFingerprint} from './fingerprint.ts';
export type {FingerprintParts} from './fingerprint.ts';
export type {CrashReport} from './types.ts';
