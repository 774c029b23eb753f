/** Order of the requests on a caller's connection. */

export {createRequestPipeline} from './request-pipeline.ts';
export type {RequestEffect, RequestPipeline} from './request-pipeline.ts';
export {maxConcurrentRequests, maxReadAheadBytes, maxReadAheadRequests} from './constants.ts';
