/** Tells the story of one request from the JSON lines that gateways wrote. */

/** A line of a log; lines of other programs are passed over. */
type LogLine = {
	readonly [field: string]: unknown;
	readonly time: string;
	readonly hostId: string;
	readonly message: string;
	readonly requestId?: string;
	readonly instanceId?: string;
};

/** Fields that are told before the others. */
const headFields = new Set(['time', 'level', 'program', 'hostId', 'message', 'requestId']);

/** Time around a request in which lines about its instances belong to its story. */
const aroundMs = 5000;

const parseLine = (text: string): LogLine | undefined => {
	const start = text.indexOf('{');
	try {
		const parsed: unknown = JSON.parse(text.slice(start));
		return typeof parsed === 'object' && parsed !== null && 'message' in parsed && 'time' in parsed ? parsed as LogLine : undefined;
	} catch {
		// A line that is no JSON comes from another program.
		return undefined;
	}
};

const describe = (line: LogLine): string => {
	const fields = Object.entries(line)
		.filter(([name, value]) => !headFields.has(name) && value !== undefined)
		.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [line.time, line.hostId, line.message, ...fields].join(' ');
};

/** Lines about `requestId` in order of time, and those about the instances that it was sent to from the seconds around it. */
export const traceRequest = (text: string, requestId: string): readonly string[] => {
	const lines = text.split('\n').flatMap(each => parseLine(each) ?? []);
	const own = lines.filter(line => line.requestId === requestId);
	if (own.length === 0) {
		return [];
	}

	const instanceIds = new Set(own.flatMap(({instanceId}) => instanceId ?? []));
	const timesMs = own.map(({time}) => Date.parse(time));
	const isNear = ({time}: LogLine): boolean => Date.parse(time) >= Math.min(...timesMs) - aroundMs && Date.parse(time) <= Math.max(...timesMs) + aroundMs;
	const around = lines.filter(line => line.requestId === undefined && line.instanceId !== undefined && instanceIds.has(line.instanceId) && isNear(line));
	return [...own, ...around]
		.toSorted((left, right) => Date.parse(left.time) - Date.parse(right.time))
		.map(line => describe(line));
};
