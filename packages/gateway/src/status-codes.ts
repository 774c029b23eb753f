/** Status codes of HTTP that decide what becomes of a request. */

/** Another instance has the address; the request did not run. */
export const misdirectedStatusCode = 421;

/** From here on the answering side has failed. */
export const firstServerErrorStatusCode = 500;

/** Promises a caller that its request has not run. */
export const unavailableStatusCode = 503;

/** The instance did not end the request in the time that it was given. */
export const gatewayTimeoutStatusCode = 504;
