/** Request handler of the operators' interface of the entry. */

import type {OperatorHandler} from '@egretwing/node';
import type {HealthMonitor} from './health.ts';
import {explainHealth} from './health-explain.ts';
import type {FleetView} from './fleet-view.ts';

/** Dependencies of the handler. */
export type EntryOperatorOptions = {
	readonly hostId: string;
	readonly incarnation: number;
	readonly view: FleetView;
	readonly health: Pick<HealthMonitor, 'explain'>;
	readonly isDraining: () => boolean;
	/** Starts a graceful shutdown; further calls have no effect. */
	readonly drain: () => void;
};

/** Creates the handler: `GET /v1/status`, `GET /v1/explain`, `POST /v1/drain`. */
export const createEntryOperator = (options: EntryOperatorOptions): OperatorHandler => {
	const {hostId, incarnation, view, health, isDraining} = options;
	const status = () => ({
		program: 'egretwing-entry',
		hostId,
		incarnation,
		ready: view.ready(),
		draining: isDraining(),
		revision: view.revision(),
		services: [...view.services().values()].map(({name}) => ({name, instances: view.instances(name).length})),
	});
	return (method, url) => {
		switch (`${method} ${url.pathname}`) {
			case 'GET /v1/status': {
				return status();
			}

			case 'GET /v1/explain': {
				return explainHealth(health, url.searchParams);
			}

			case 'POST /v1/drain': {
				options.drain();
				return status();
			}

			default: {
				return undefined;
			}
		}
	};
};
