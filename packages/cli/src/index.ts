/** Parts of the command line that others may embed. */

export {checkFile} from './check.ts';
export type {Finding} from './check.ts';
