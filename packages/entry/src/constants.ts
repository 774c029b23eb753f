/** Names and limits of the callers' interface. */

/** Request header: the workspace that the request belongs to. */
export const workspaceHeader = 'egretwing-workspace';
/** Request header: time left for the request, in milliseconds. */
export const deadlineHeader = 'egretwing-deadline-ms';
/** Request header: identifies the sends of one request. */
export const idempotencyKeyHeader = 'idempotency-key';
/** Request header: `true` when the caller has not sent the key before. */
export const firstSendHeader = 'egretwing-first-send';
/** Answer header: kind of the refusal. */
export const kindHeader = 'egretwing-kind';
/** Answer header: whether the request ran. */
export const ranHeader = 'egretwing-ran';
/** Answer header: instance that answered. */
export const instanceHeader = 'egretwing-instance';

/** Delay before the session to the agent is opened again. */
export const agentRetryDelayMs = 100;
