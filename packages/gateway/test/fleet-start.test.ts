import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {createLogger} from '@egretwing/node';
import {
	defaultHeaderNames, startGateway, type Gateway, type GatewaySettings, type StoreClient,
} from '@egretwing/gateway';
import {Err} from 'ts-results-es';
import {networkOf} from '../../../test/support/network.ts';
import {createTestSettings} from './support/settings.ts';

const network = networkOf(207);
const port = 21_500;
/** Several rounds of member discovery, and less than the time until members trust the result. */
const settlingMs = 900;

const settings = (number: number): GatewaySettings => createTestSettings(`g-${number}`, `${network}.${number}`, port, {
	seedAddresses: [`${network}.1`, `${network}.2`], shutdownMs: 500,
});

/** A store that rejects every call. */
const closedStore: StoreClient = {
	readAll: async () => Err('turned-away'),
	watch: async () => Err('turned-away'),
	close: () => undefined,
};

describe('gateways that start together', () => {
	let gateways: readonly Gateway[] = [];

	afterEach(async () => {
		await Promise.all(gateways.map(async gateway => gateway.shutdown()));
	});

	it('direct all callers of a data centre to the same gateway before any gateway knows the instances', async () => {
		const dependencies = {store: closedStore, headerNames: defaultHeaderNames, logger: createLogger('test', 'g', 0)};
		gateways = await Promise.all([1, 2, 3, 4].map(async number => startGateway(settings(number), dependencies)));
		await delay(settlingMs);
		const answers = gateways.map(gateway => gateway.locate('a').addresses.map(({address}) => address).join(','));
		expect(new Set(answers)).to.have.length(1);
		expect(gateways.map(gateway => gateway.isReady())).to.deep.equal([false, false, false, false]);
	});

	it('let callers cache locate answers for a shorter time while the fleet is not known yet', async () => {
		const dependencies = {store: closedStore, headerNames: defaultHeaderNames, logger: createLogger('test', 'g', 0)};
		gateways = [await startGateway(settings(1), dependencies)];
		const early = gateways[0]!.locate('a').keepMs;
		await delay(settlingMs + 500);
		expect(early).to.be.below(gateways[0]!.locate('a').keepMs);
	});
});
