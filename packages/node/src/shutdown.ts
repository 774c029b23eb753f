/** Signals that ask a daemon to shut down. */

import process from 'node:process';

/** Calls `handler` once, at the first SIGTERM or SIGINT. */
export const onShutdownSignal = (handler: () => void): void => {
	let isCalled = false;
	const callOnce = () => {
		if (!isCalled) {
			isCalled = true;
			handler();
		}
	};

	process.on('SIGTERM', callOnce);
	process.on('SIGINT', callOnce);
};
