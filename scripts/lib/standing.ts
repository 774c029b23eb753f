/** Reads from an entry which instances it has ejected. */

type Explanations = {
	readonly instances: ReadonlyArray<{readonly instanceId: string; readonly standing: {readonly kind: string}}>;
};

const requestTimeoutMs = 1000;

/** Fetches JSON; undefined when there is no answer in time or its status is not 2xx. */
export const tryFetchJson = async <T>(url: string): Promise<T | undefined> => {
	try {
		const response = await fetch(url, {signal: AbortSignal.timeout(requestTimeoutMs)});
		return response.ok ? await response.json() as T : undefined;
	} catch {
		return undefined;
	}
};

/** Ids of the instances of `services` that the entry whose operators' interface is at `url` has ejected. */
export const fetchEjected = async (url: string, services: readonly string[]): Promise<readonly string[]> => {
	const answers = await Promise.all(services.map(async service => tryFetchJson<Explanations>(`${url}/v1/explain?service=${service}`)));
	return answers.flatMap(answer => answer?.instances ?? [])
		.filter(({standing}) => standing.kind === 'ejected')
		.map(({instanceId}) => instanceId);
};
