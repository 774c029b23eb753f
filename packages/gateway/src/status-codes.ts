/** HTTP status codes that affect how a request is handled. */

/** 421: another instance has the address; the request did not run. */
export const misdirectedStatusCode = 421;

/** First of the status codes that report a failure of the server. */
export const firstServerErrorStatusCode = 500;

/** 503: promises a caller that its request has not run. */
export const unavailableStatusCode = 503;

/** 504: the instance did not finish the request within its deadline. */
export const gatewayTimeoutStatusCode = 504;
