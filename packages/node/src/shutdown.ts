/** Signals that ask a daemon to shut down. */

import process from 'node:process';

/** Calls `handler` once, at the first SIGTERM or SIGINT. */
export const onShutdownSignal = (handler: (signal: NodeJS.Signals) => void): void => {
	let isCalled = false;
	const callOnce = (signal: NodeJS.Signals) => {
		if (!isCalled) {
			isCalled = true;
			handler(signal);
		}
	};

	process.on('SIGTERM', callOnce);
	process.on('SIGINT', callOnce);
};
