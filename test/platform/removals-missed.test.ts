import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {networkOf} from '../support/network.ts';
import {buildGateway, gatewayPorts, startGateways} from './soak/gateways.ts';
import {createSoakStore} from './soak/store.ts';
import {configure, get, startRecordingInstance} from './support/published-service.ts';

const network = networkOf(219);
const storeAddress = `${network}.100`;
const instanceAddress = `${network}.101`;
const addresses = Array.from({length: 4}, (_, number) => `${network}.${number + 1}`);
const dataCentres = ['dc-1', 'dc-2', 'dc-3'];
/** Time for members to discover each other and to elect the readers. */
const settlingMs = 4000;
/** Longer than a watch of a reader waits. */
const observeReadersMs = 2500;
const suspensionMs = 5000;
const killAfterMs = 500;
const applyMs = 100;
/** Time after a disruption from which gateways are held to what they missed (`contact_ms`). */
const contactMs = 3000;

describe('an instance that leaves while one gateway stands still and the others are killed', () => {
	// Guards against an instance that has left and comes back into use at all gateways from one that had not heard of its removal.
	for (const [title, removedAfterMs] of [['before they are killed', killAfterMs - applyMs], ['while they are down', killAfterMs + applyMs]] as const) {
		it(`gets no requests ${contactMs} ms after it goes on, when the instance leaves ${title}`, async function () {
			this.timeout(60_000);
			const store = await createSoakStore(storeAddress, gatewayPorts.store);
			const instance = await startRecordingInstance(store, instanceAddress, {id: 'i-1', service: 'first', dataCentre: dataCentres[0]!});
			configure(store, 1, ['first']);
			const gateways = startGateways({
				file: await buildGateway(), addresses, dataCentreOf: number => dataCentres[number % dataCentres.length]!, storeAddress,
			});
			const askAll = async (): Promise<readonly number[]> => Promise.all(addresses.map(async address => get(address, '/first/x')));
			try {
				await delay(settlingMs);
				store.takeCallers();
				await delay(observeReadersMs);
				const readers = store.takeCallers();
				const suspended = addresses.findIndex(address => !readers.has(address));
				expect(await askAll()).to.deep.equal(addresses.map(() => 200));

				gateways.signal(suspended, 'SIGSTOP');
				const steps: ReadonlyArray<readonly [atMs: number, run: () => void]> = [
					[removedAfterMs, () => {
						store.remove('servers/i-1');
					}],
					[killAfterMs, () => {
						for (const number of addresses.keys()) {
							if (number !== suspended) {
								gateways.signal(number, 'SIGKILL');
							}
						}
					}],
					[suspensionMs, () => {
						gateways.signal(suspended, 'SIGCONT');
					}],
				];
				await Promise.all(steps.map(async ([atMs, run]) => {
					await delay(atMs);
					run();
				}));
				await delay(contactMs);
				instance.callers.length = 0;
				expect(await askAll()).to.deep.equal(addresses.map(() => 503));
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
