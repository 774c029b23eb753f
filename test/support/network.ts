/** Loopback addresses of one test process, so that several can run side by side on one machine. */

import process from 'node:process';

const firstPart = 100;
const partCount = 100;

/** First three parts of addresses of this process; `part` (0 to 255) tells its users apart. */
export const networkOf = (part: number): string => `127.${firstPart + (process.pid % partCount)}.${part}`;
