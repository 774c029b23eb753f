/** Finds what happened to one request in the JSON log lines of gateways. */

/** A log line of a gateway; lines of other programs are skipped. */
type LogLine = {
	readonly [field: string]: unknown;
	readonly time: string;
	readonly hostId: string;
	readonly message: string;
	readonly requestId?: string;
	readonly instanceId?: string;
};

/** Fields that are printed without their name, or not at all. */
const unlabelledFields = new Set(['time', 'level', 'program', 'hostId', 'message', 'requestId']);

/** Lines about the instances of a request are included this long before its first and after its last line. */
const instanceContextMs = 5000;

const parseLine = (text: string): LogLine | undefined => {
	const start = text.indexOf('{');
	try {
		const parsed: unknown = JSON.parse(text.slice(start));
		return typeof parsed === 'object' && parsed !== null && 'message' in parsed && 'time' in parsed ? parsed as LogLine : undefined;
	} catch {
		// A line that is not JSON comes from another program.
		return undefined;
	}
};

const formatLine = (line: LogLine): string => {
	const fields = Object.entries(line)
		.filter(([name, value]) => !unlabelledFields.has(name) && value !== undefined)
		.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [line.time, line.hostId, line.message, ...fields].join(' ');
};

/**
 * Lines of `requestId` and lines about the instances that it was sent to from the seconds around it, in order of time.
 * Empty when no line has the request id.
 */
export const traceRequest = (text: string, requestId: string): readonly string[] => {
	const lines = text.split('\n').flatMap(each => parseLine(each) ?? []);
	const requestLines = lines.filter(line => line.requestId === requestId);
	if (requestLines.length === 0) {
		return [];
	}

	const instanceIds = new Set(requestLines.flatMap(({instanceId}) => instanceId ?? []));
	const timesMs = requestLines.map(({time}) => Date.parse(time));
	const isInContext = ({time}: LogLine): boolean => Date.parse(time) >= Math.min(...timesMs) - instanceContextMs && Date.parse(time) <= Math.max(...timesMs) + instanceContextMs;
	const instanceLines = lines.filter(line => line.requestId === undefined && line.instanceId !== undefined && instanceIds.has(line.instanceId) && isInContext(line));
	return [...requestLines, ...instanceLines]
		.toSorted((left, right) => Date.parse(left.time) - Date.parse(right.time))
		.map(line => formatLine(line));
};
