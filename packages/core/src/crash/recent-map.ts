/** A map of limited size that evicts the least recently set keys. */

/** A bounded map, ordered by the last `set` of each key. */
export type RecentMap<Value> = {
	readonly get: (key: string) => Value | undefined;
	readonly set: (key: string, value: Value) => void;
	readonly delete: (key: string) => void;
	readonly size: () => number;
};

/** Creates a map of at most `maxSize` keys. */
export const createRecentMap = <Value>(maxSize: number): RecentMap<Value> => {
	const values = new Map<string, Value>();

	return {
		get: key => values.get(key),
		set(key, value) {
			values.delete(key);
			values.set(key, value);
			if (values.size <= maxSize) {
				return;
			}

			const [oldest] = values.keys();
			if (oldest !== undefined) {
				values.delete(oldest);
			}
		},
		delete(key) {
			values.delete(key);
		},
		size: () => values.size,
	};
};
