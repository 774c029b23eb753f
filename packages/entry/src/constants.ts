/** Names and limits of the callers' interface. */

/** Request header: the workspace that the request belongs to. */
export const workspaceHeader = 'egretwing-workspace';
/** Request header: time left for the request, in milliseconds. */
export const deadlineHeader = 'egretwing-deadline-ms';
/** Request header: identifies the sends of one request. */
export const idempotencyKeyHeader = 'idempotency-key';
/** Request header: `true` when the caller has not sent the key before. */
export const firstSendHeader = 'egretwing-first-send';
/** Answer header: instance that answered. */
export const instanceHeader = 'egretwing-instance';
/** Answer header: `true` on the stored answer of an earlier send. */
export const replayedHeader = 'egretwing-replayed';
/** Header between entries: marks a request that was passed on, and proves that an entry of the fleet did it. */
export const forwardHeader = 'egretwing-forward';
/** Headers that are not passed on with a request or an answer. */
export const ownHeaders = [deadlineHeader, forwardHeader];
/** Path at which an entry hands out the prefix of idempotency keys. */
export const keyPath = '/.well-known/egretwing/idempotency-key';
/** How often connections are checked for callers that are slow to send their headers. */
export const slowCallerCheckMs = 1000;
/** How often the entry looks at its clock to notice that it was paused, and tells its agent that it is alive. */
export const beatIntervalMs = 500;

/** Delay before the session to the agent is opened again. */
export const agentRetryDelayMs = 100;
