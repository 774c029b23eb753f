/** The choice of an instance for an attempt, as the pipeline sees it. */

import type {Instance} from '@egretwing/core';
import type {CallerRequest} from './request.ts';

/** An instance held for one attempt. */
export type Reservation = {
	readonly instance: Instance;
	/** Gives the place back once the attempt has ended. */
	readonly release: () => void;
};

/** Chooses among the instances that may take a request. */
export type Selection = {
	/** Reserves an instance that is not in `tried`; `undefined` when there is none. */
	readonly reserve: (request: CallerRequest, tried: ReadonlySet<string>) => Reservation | undefined;
};
