/** Header names and intervals of the entry. */

/** Request header: the workspace that the request belongs to. */
export const workspaceHeader = 'egretwing-workspace';
/** Request header: time left until the deadline, in milliseconds. */
export const deadlineHeader = 'egretwing-deadline-ms';
/** Request header: identifies repeated sends of the same request. */
export const idempotencyKeyHeader = 'idempotency-key';
/** Request header: `true` if the caller has not sent this key before. */
export const firstSendHeader = 'egretwing-first-send';
/** Response header: instance that answered. */
export const instanceHeader = 'egretwing-instance';
/** Response header: `true` if the response is a replay of the one to an earlier send. */
export const replayedHeader = 'egretwing-replayed';
/** Header between entries: marks a forwarded request and authenticates the forwarding entry. */
export const forwardHeader = 'egretwing-forward';
/** Headers that are removed from forwarded requests and responses. */
export const internalHeaders = [deadlineHeader, forwardHeader];
/** Path of the endpoint that issues prefixes of idempotency keys. */
export const keyPrefixPath = '/.well-known/egretwing/idempotency-key';
/** Interval at which connections are checked for callers that send their headers too slowly. */
export const connectionCheckIntervalMs = 1000;
/** Interval at which the entry checks its clock to detect that it was paused, and sends a heartbeat to its agent. */
export const heartbeatIntervalMs = 500;

/** Delay before reconnecting to the agent. */
export const agentReconnectDelayMs = 100;
