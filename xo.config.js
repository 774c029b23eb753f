/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', 'bench-out/**'],
	},
	{
		files: ['**/*.ts'],
		languageOptions: {
			parserOptions: {
				projectService: false,
				project: './tsconfig.json',
				tsconfigRootDir: import.meta.dirname,
			},
		},
	},
	{
		// A package that a test imports by name counts as external whether or not it has been built.
		settings: {'import-x/external-module-folders': ['node_modules', 'dist']},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Option.String() and its kin are clipanion's declared interface.
			'new-cap': ['error', {capIsNew: false, newIsCap: true}],
			// Field names such as `p99Ms` and record names such as `seat-ledger` come from the wire.
			'@typescript-eslint/naming-convention': 'off',
			// A readonly discriminated union is written with `type`; one form throughout.
			'@typescript-eslint/consistent-type-definitions': ['error', 'type'],
			// Single-threaded state is owned by one closure; sequential awaits are intended.
			'no-await-in-loop': 'off',
			// The customary short names of the field and of Node.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			// Sockets, HTTP and HMACs of Node deliver and take Buffer.
			'@typescript-eslint/no-restricted-types': 'off',
			// Messages are told apart by their `type` before they are read.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Event listeners may be async where they handle their own errors.
			'@typescript-eslint/strict-void-return': 'off',
			'@typescript-eslint/no-misused-promises': ['error', {checksVoidReturn: false}],
		},
	},
	{
		files: ['**/test/**/*.ts', 'scripts/**/*.ts', 'test/**/*.ts', 'platform/**/*.ts'],
		rules: {
			// Test libraries are dependencies of the root, not of each package; the packages are workspaces of the root.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			// Property assertions of chai.
			'@typescript-eslint/no-unused-expressions': 'off',
		},
	},
];

export default config;
