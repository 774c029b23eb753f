import {expect} from 'chai';
import {
	alarmThreshold, detectionBound, divergence, failureShares, nextScore, observationsBetweenAlarms, scoreSteps,
} from '../src/health/likelihood.ts';
import {createRandom} from '../src/random.ts';

const secondsPerDay = 86_400;

describe('likelihood of a failing instance', () => {
	it('needs 8.6 observations to distinguish a failure share of 50% from 1% at one false alarm per million', () => {
		const bound = detectionBound(secondsPerDay / 1_000_000, 1, failureShares(0.01));
		expect(bound).to.be.closeTo(8.6, 0.1);
		expect(divergence(failureShares(0.01))).to.be.closeTo(1.61, 0.01);
	});

	const rateCases = [
		{title: 'few false ejections, as for Chorale', perDay: 0.001},
		{title: 'fast detection, as for Dhaar', perDay: 1},
	];
	for (const {title, perDay} of rateCases) {
		it(`derives the threshold from the accepted false ejections and the observation rate (${title})`, () => {
			expect(alarmThreshold(perDay, 10)).to.be.closeTo(Math.log(10 * secondsPerDay / perDay), 1e-9);
			expect(alarmThreshold(perDay, 20)).to.be.above(alarmThreshold(perDay, 10));
		});
	}

	it('raises no more alarms over a healthy run than the setting accepts', () => {
		const perDay = 40;
		const rate = 10;
		const steps = scoreSteps(failureShares(0.01));
		const threshold = alarmThreshold(perDay, rate);
		const days = 10;
		const random = createRandom(41);
		let score = 0;
		let alarms = 0;
		for (let index = 0; index < days * secondsPerDay * rate; index++) {
			score = nextScore(score, random.next() < 0.01 ? steps.failed : steps.succeeded);
			if (score >= threshold) {
				alarms++;
				score = 0;
			}
		}

		expect(observationsBetweenAlarms(perDay, rate)).to.equal(21_600);
		expect(alarms).to.be.at.most(perDay * days);
	});
});
