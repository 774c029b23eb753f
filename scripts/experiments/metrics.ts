/** Reads values from the metrics page of a daemon. */

/** Values of a metrics page by metric name; series of one name are summed over their labels. */
export type MetricValues = ReadonlyMap<string, number>;

const linePattern = /^(?<name>[a-z_]+)(?:\{[^\}]*\})? (?<value>\S+)$/v;

/** Parses the Prometheus text format. */
export const parseMetrics = (text: string): MetricValues => {
	const values = new Map<string, number>();
	for (const line of text.split('\n')) {
		const groups = linePattern.exec(line)?.groups;
		if (groups) {
			const name = groups.name ?? '';
			values.set(name, (values.get(name) ?? 0) + Number(groups.value));
		}
	}

	return values;
};

/** Fetches the metrics of the daemon whose operators' interface is at `url`. */
export const fetchMetrics = async (url: string): Promise<MetricValues> => {
	const response = await fetch(`${url}/metrics`);
	return parseMetrics(await response.text());
};
