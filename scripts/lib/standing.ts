/** Asks an entry which instances it holds ejected. */

type Explanations = {
	readonly instances: ReadonlyArray<{readonly instanceId: string; readonly standing: {readonly kind: string}}>;
};

const answerTimeoutMs = 1000;

/** Fetches JSON; undefined when there is no answer in time or it is no success. */
export const fetchOrNothing = async <T>(url: string): Promise<T | undefined> => {
	try {
		const response = await fetch(url, {signal: AbortSignal.timeout(answerTimeoutMs)});
		return response.ok ? await response.json() as T : undefined;
	} catch {
		return undefined;
	}
};

/** Ids of the instances that the entry whose operators' interface is at `url` holds ejected, over these services. */
export const fetchEjected = async (url: string, services: readonly string[]): Promise<readonly string[]> => {
	const answers = await Promise.all(services.map(async service => fetchOrNothing<Explanations>(`${url}/v1/explain?service=${service}`)));
	return answers.flatMap(answer => answer?.instances ?? [])
		.filter(({standing}) => standing.kind === 'ejected')
		.map(({instanceId}) => instanceId);
};
