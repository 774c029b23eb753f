/** Sentences with blanks: `stall {targets:list} [for {duration:duration}]`. */

const msPerSecond = 1000;

const blanks = {
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

type BlankKind = keyof typeof blanks;
type BlankValue<Kind extends BlankKind> = ReturnType<(typeof blanks)[Kind]['read']>;

type BlankValues<Template extends string> = Template extends `${string}{${infer Name}:${infer Kind}}${infer Rest}`
	? Readonly<Record<Name, Kind extends BlankKind ? BlankValue<Kind> : never>> & BlankValues<Rest>
	: unknown;

/** Reads a sentence; undefined when it is another one. Blanks in a part left out are undefined. */
export type Sentence<Result> = (text: string) => Result | undefined;

const blankRegex = /\{(?<name>\w+):(?<kind>\w+)\}/gv;
const escapeWords = (text: string): string => text.replaceAll(/[\(\).*+?$\|]/gv, String.raw`\$&`);

/** Compiles a template; parts in square brackets may be left out. */
export const createSentence = <const Template extends string, Result>(
	template: Template,
	build: (values: BlankValues<Template>, wasSaid: (words: string) => boolean) => Result,
): Sentence<Result> => {
	const kinds = new Map<string, BlankKind>();
	const source = escapeWords(template)
		.replaceAll(' [', '(?: ')
		.replaceAll(']', ')?')
		.replaceAll(blankRegex, (_match, name: string, kind: BlankKind) => {
			kinds.set(name, kind);
			return `(?<${name}>${blanks[kind].pattern})`;
		});
	const regex = new RegExp(`^${source}$`, 'v');
	return text => {
		const match = regex.exec(text);
		if (!match) {
			return undefined;
		}

		const values: Record<string, unknown> = {};
		for (const [name, kind] of kinds) {
			const said = match.groups?.[name];
			values[name] = said === undefined ? undefined : blanks[kind].read(said);
		}

		return build(values as BlankValues<Template>, words => text.includes(words));
	};
};

/** The first sentence that fits. */
export const readFirst = <Result>(sentences: ReadonlyArray<Sentence<Result>>, text: string): Result | undefined => {
	for (const sentence of sentences) {
		const result = sentence(text);
		if (result !== undefined) {
			return result;
		}
	}

	return undefined;
};
