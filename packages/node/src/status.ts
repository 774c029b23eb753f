/** Which status codes are answers: the one rule for requests, peers and calls to the platform. */

const firstStatusCode = 100;
const firstFinalStatusCode = 200;
const lastStatusCode = 599;

/** Whether HTTP knows the class of the status code. */
export const isStatusCode = (statusCode: number): boolean =>
	Number.isInteger(statusCode) && statusCode >= firstStatusCode && statusCode <= lastStatusCode;

/** Whether an answer with the status code ends the wait for one, which an informational answer does not. */
export const isFinalStatusCode = (statusCode: number): boolean => isStatusCode(statusCode) && statusCode >= firstFinalStatusCode;
