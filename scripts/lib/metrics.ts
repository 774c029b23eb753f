/** Reads counters from the metrics of the daemons. */

/** Sum of all samples of `name` in the Prometheus text format. */
export const sumSamples = (text: string, name: string): number => {
	let sum = 0;
	for (const line of text.split('\n')) {
		if (line.startsWith(`${name} `) || line.startsWith(`${name}{`)) {
			sum += Number(line.slice(line.lastIndexOf(' ') + 1));
		}
	}

	return sum;
};

/** Fetches the metrics at `url` and sums the samples of `name`; 0 while the daemon is not reachable. */
export const fetchSum = async (url: string, name: string): Promise<number> => {
	try {
		const response = await fetch(`${url}/metrics`, {signal: AbortSignal.timeout(1000)});
		return sumSamples(await response.text(), name);
	} catch {
		return 0;
	}
};
