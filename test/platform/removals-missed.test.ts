import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {networkOf} from '../support/network.ts';
import {get, serviceName, withPublishedService} from './support/published-service.ts';

const gatewayCount = 4;
const suspensionMs = 5000;
const killAfterMs = 500;
const marginMs = 100;
/** Time after a disruption from which gateways are held to what they missed (`contact_ms`). */
const contactMs = 3000;

describe('an instance that leaves while one gateway stands still and the others are killed', () => {
	// Guards against an instance that has left and comes back into use at all gateways from one that had not heard of its removal.
	for (const [title, removedAfterMs] of [['before they are killed', killAfterMs - marginMs], ['while they are down', killAfterMs + marginMs]] as const) {
		it(`gets no requests ${contactMs} ms after the first goes on, when it leaves ${title}`, async function () {
			this.timeout(60_000);
			await withPublishedService(networkOf(219), gatewayCount, async ({
				removeInstance, callers, addresses, readers, signal,
			}) => {
				const askAll = async (): Promise<readonly number[]> => Promise.all(addresses.map(async address => get(address, `/${serviceName}/x`)));
				expect(await askAll()).to.deep.equal(addresses.map(() => 200));

				const suspended = addresses.find(address => !readers.has(address))!;
				const steps: ReadonlyArray<readonly [atMs: number, run: () => void]> = [
					[removedAfterMs, removeInstance],
					[killAfterMs, () => {
						for (const address of addresses.filter(each => each !== suspended)) {
							signal(address, 'SIGKILL');
						}
					}],
					[suspensionMs, () => {
						signal(suspended, 'SIGCONT');
					}],
				];
				signal(suspended, 'SIGSTOP');
				await Promise.all(steps.map(async ([atMs, run]) => {
					await delay(atMs);
					run();
				}));
				await delay(contactMs);
				callers.length = 0;
				expect(await askAll()).to.deep.equal(addresses.map(() => 503));
				expect(callers).to.deep.equal([]);
			});
		});
	}
});
