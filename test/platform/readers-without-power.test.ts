import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {networkOf} from '../support/network.ts';
import {
	configure, get, serviceName, withPublishedService,
} from './support/published-service.ts';

const gatewayCount = 8;
/** Gateways without power, the readers among them. */
const stoppedCount = 4;
/** Time within which a change of the configuration, or the removal of an instance, has to be in force (`config_apply_ms`, `drain_ms`). */
const applyMs = 2000;

describe('gateways whose store readers all lose power', () => {
	// Guards against gateways that keep to an old configuration, and to instances that are gone, until the membership declares the readers dead.
	for (const changeAfterMs of [1, 700]) {
		it(`apply changes made ${changeAfterMs} ms later within ${applyMs} ms`, async function () {
			this.timeout(60_000);
			await withPublishedService(networkOf(214), gatewayCount, async ({
				store, removeInstance, callers, addresses, readers, signal,
			}) => {
				expect(readers).to.have.length(2);
				const stopped = [...new Set([...readers, ...addresses])].slice(0, stoppedCount);
				const others = addresses.filter(address => !stopped.includes(address));
				expect(await Promise.all(others.map(async address => get(address, `/${serviceName}/x`)))).to.deep.equal(others.map(() => 200));

				for (const address of stopped) {
					signal(address, 'SIGSTOP');
				}

				await delay(changeAfterMs);
				const changedAtMs = performance.now();
				configure(store, 2, [serviceName, 'second']);
				removeInstance();
				await delay(changedAtMs + applyMs - performance.now());
				callers.length = 0;
				const statusCodes = await Promise.all(others.flatMap(address => [get(address, `/${serviceName}/x`), get(address, '/second/x')]));
				expect(statusCodes).to.deep.equal(others.flatMap(() => [503, 503]));
				expect(callers).to.deep.equal([]);
			});
		});
	}
});
