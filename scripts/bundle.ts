/** Bundles the platform's program into `target/`: `npm run bundle`. */

import {fileURLToPath} from 'node:url';
import {bundleGateway} from './lib/bundle.ts';

await bundleGateway(fileURLToPath(new URL('../target/', import.meta.url)));
