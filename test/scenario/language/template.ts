/** Sentence templates with placeholders: `stall {targets:list} [for {duration:duration}]`. */

const msPerSecond = 1000;

const placeholders = {
	int: {pattern: String.raw`\d+`, read: Number},
	number: {pattern: String.raw`\d+(?:\.\d+)?`, read: Number},
	name: {pattern: String.raw`[a-z][a-z\d\-]*`, read: String},
	path: {pattern: String.raw`\/\S*`, read: String},
	method: {pattern: 'GET|POST|PUT|DELETE', read: String},
	semantics: {pattern: 'idempotent|at-most-once', read: String},
	duration: {
		pattern: String.raw`\d+(?:\.\d+)? m?s`,
		read(text: string): number {
			const [amount, unit] = text.split(' ');
			return Number(amount) * (unit === 's' ? msPerSecond : 1);
		},
	},
	list: {
		pattern: String.raw`[a-z][a-z\d\-]*(?:(?:, | and )[a-z][a-z\d\-]*)*`,
		read: (text: string): readonly string[] => text.split(/, | and /v),
	},
} as const;

type PlaceholderKind = keyof typeof placeholders;
type PlaceholderValue<Kind extends PlaceholderKind> = ReturnType<(typeof placeholders)[Kind]['read']>;

type PlaceholderValues<Template extends string> = Template extends `${string}{${infer Name}:${infer Kind}}${infer Rest}`
	? Readonly<Record<Name, Kind extends PlaceholderKind ? PlaceholderValue<Kind> : never>> & PlaceholderValues<Rest>
	: unknown;

/** Parses a sentence; undefined when the text does not match. Placeholders in an omitted part are undefined. */
export type Sentence<Result> = (text: string) => Result | undefined;

const placeholderRegex = /\{(?<name>\w+):(?<kind>\w+)\}/gv;
const escapeRegexCharacters = (text: string): string => text.replaceAll(/[\(\).*+?$\|]/gv, String.raw`\$&`);

/** Compiles a template; parts in square brackets are optional. `hasWords` tells whether the text contains these words. */
export const createSentence = <const Template extends string, Result>(
	template: Template,
	build: (values: PlaceholderValues<Template>, hasWords: (words: string) => boolean) => Result,
): Sentence<Result> => {
	const kinds = new Map<string, PlaceholderKind>();
	const source = escapeRegexCharacters(template)
		.replaceAll(' [', '(?: ')
		.replaceAll(']', ')?')
		.replaceAll(placeholderRegex, (_match, name: string, kind: PlaceholderKind) => {
			kinds.set(name, kind);
			return `(?<${name}>${placeholders[kind].pattern})`;
		});
	const regex = new RegExp(`^${source}$`, 'v');
	return text => {
		const match = regex.exec(text);
		if (!match) {
			return undefined;
		}

		const values: Record<string, unknown> = {};
		for (const [name, kind] of kinds) {
			const matched = match.groups?.[name];
			values[name] = matched === undefined ? undefined : placeholders[kind].read(matched);
		}

		return build(values as PlaceholderValues<Template>, words => text.includes(words));
	};
};

/** Result of the first sentence that matches; undefined when none does. */
export const readFirst = <Result>(sentences: ReadonlyArray<Sentence<Result>>, text: string): Result | undefined => {
	for (const sentence of sentences) {
		const result = sentence(text);
		if (result !== undefined) {
			return result;
		}
	}

	return undefined;
};
