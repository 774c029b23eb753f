/** Which headers pass from one connection to the next. */

/** Headers as the library delivers them. */
export type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Headers that concern one connection only. */
const connectionHeaders = new Set([
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

const namedByConnection = (headers: Headers): ReadonlySet<string> => {
	const written = headers.connection;
	const text = Array.isArray(written) ? written.join(',') : written ?? '';
	const names = text.split(',').map(name => name.trim().toLowerCase());
	// A length belongs to the message; a caller must not be able to have it dropped.
	return new Set(names.filter(name => name !== 'content-length' && name !== 'host'));
};

/** Drops the headers that concern one connection only, those named by `connection` included, and those in `also`. */
export const forwardedHeaders = (headers: Headers, also: readonly string[] = []): Record<string, string | string[]> => {
	const dropped = new Set([...namedByConnection(headers), ...also]);
	const kept: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !connectionHeaders.has(name) && !dropped.has(name)) {
			kept[name] = value;
		}
	}

	return kept;
};

/** False when only the end of the connection marks the end of the answer, so that a cut one looks complete. */
export const isSelfDelimited = (method: string, statusCode: number, headers: Headers): boolean =>
	method === 'HEAD'
	|| noContentStatusCodes.has(statusCode)
	|| headers['content-length'] !== undefined
	|| headers['transfer-encoding'] !== undefined;
