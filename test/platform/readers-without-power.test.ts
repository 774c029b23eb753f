import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {networkOf} from '../support/network.ts';
import {buildGateway, gatewayPorts, startGateways} from './soak/gateways.ts';
import {createSoakStore} from './soak/store.ts';
import {configure, get, startRecordingInstance} from './support/published-service.ts';

const network = networkOf(214);
const storeAddress = `${network}.100`;
const instanceAddress = `${network}.101`;
const addresses = Array.from({length: 8}, (_, number) => `${network}.${number + 1}`);
const dataCentres = ['dc-1', 'dc-2', 'dc-3'];
/** Gateways without power, the readers among them. */
const stoppedCount = 4;
/** Time for members to discover each other and to elect the readers. */
const settlingMs = 4000;
/** Longer than a watch of a reader waits. */
const observeReadersMs = 2500;
/** Time within which a change of the configuration, or the removal of an instance, has to be in force (`config_apply_ms`, `drain_ms`). */
const applyMs = 2000;

describe('gateways whose store readers all lose power', () => {
	// Guards against gateways that keep to an old configuration, and to instances that are gone, until the membership declares the readers dead.
	for (const changeAfterMs of [1, 700]) {
		it(`apply changes made ${changeAfterMs} ms later within ${applyMs} ms`, async function () {
			this.timeout(60_000);
			const store = await createSoakStore(storeAddress, gatewayPorts.store);
			const instance = await startRecordingInstance(store, instanceAddress, {id: 'i-1', service: 'first', dataCentre: dataCentres[0]!});
			configure(store, 1, ['first']);
			const gateways = startGateways({
				file: await buildGateway(), addresses, dataCentreOf: number => dataCentres[number % dataCentres.length]!, storeAddress,
			});
			try {
				await delay(settlingMs);
				store.takeCallers();
				await delay(observeReadersMs);
				const readers = store.takeCallers();
				expect(readers).to.have.length(2);
				const stopped = [...new Set([...readers, ...addresses])].slice(0, stoppedCount);
				const others = addresses.filter(address => !stopped.includes(address));
				expect(await Promise.all(others.map(async address => get(address, '/first/x')))).to.deep.equal(others.map(() => 200));

				for (const address of stopped) {
					gateways.signal(addresses.indexOf(address), 'SIGSTOP');
				}

				await delay(changeAfterMs);
				const changedAtMs = performance.now();
				configure(store, 2, ['first', 'second']);
				store.remove('servers/i-1');
				await delay(changedAtMs + applyMs - performance.now());
				instance.callers.length = 0;
				const statusCodes = await Promise.all(others.flatMap(address => [get(address, '/first/x'), get(address, '/second/x')]));
				expect(statusCodes).to.deep.equal(others.flatMap(() => [503, 503]));
				expect(instance.callers).to.deep.equal([]);
			} finally {
				for (const number of addresses.keys()) {
					gateways.signal(number, 'SIGKILL');
				}

				await gateways.stop();
				instance.close();
				store.close();
			}
		});
	}
});
