/** Digest of the access keys of workspaces, so that no key is kept, logged or sent to another gateway. */

import {createHash} from 'node:crypto';

/** Digest of an access key: SHA-256 in base64url. */
export const digestKey = (key: string): string => createHash('sha256').update(key).digest('base64url');
