/** Parts of the command line that other programs can import. */

export {checkFile} from './check.ts';
export type {Finding} from './check.ts';
