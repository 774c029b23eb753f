/** Loopback addresses of one test process, so that several processes can run on one machine at the same time. */

import process from 'node:process';

const minSecondOctet = 100;
const secondOctetCount = 100;

/** First three octets of addresses of this process; each user in a process takes a `subnet` (0 to 255) of its own. */
export const networkOf = (subnet: number): string => `127.${minSecondOctet + (process.pid % secondOctetCount)}.${subnet}`;
