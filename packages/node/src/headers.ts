/** Selects the headers that a proxy forwards. */

/** Headers as parsed by the HTTP library. */
export type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Hop-by-hop headers, which apply to a single connection. */
const hopByHopHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
]);

const noContentStatusCodes: ReadonlySet<number> = new Set([204, 304]);

const connectionOptions = (headers: Headers): ReadonlySet<string> => {
	const written = headers.connection;
	const text = Array.isArray(written) ? written.join(',') : written ?? '';
	const names = text.split(',').map(name => name.trim().toLowerCase());
	// The length and the host belong to the message; a caller must not be able to have them removed.
	return new Set(names.filter(name => name !== 'content-length' && name !== 'host'));
};

/** Removes hop-by-hop headers, including those listed in `connection`, and the headers in `extraNames`. */
export const forwardedHeaders = (headers: Headers, extraNames: readonly string[] = []): Record<string, string | string[]> => {
	const dropped = new Set([...connectionOptions(headers), ...extraNames]);
	const kept: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopByHopHeaders.has(name) && !dropped.has(name)) {
			kept[name] = value;
		}
	}

	return kept;
};

/** False if only the close of the connection marks the end of the response, so that a truncated one looks complete. */
export const isSelfDelimited = (method: string, statusCode: number, headers: Headers): boolean =>
	method === 'HEAD'
	|| noContentStatusCodes.has(statusCode)
	|| headers['content-length'] !== undefined
	|| headers['transfer-encoding'] !== undefined;
