/** A map that forgets its least recently set keys beyond a size. */

/** A bounded map in order of the last `set`. */
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
