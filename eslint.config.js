import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import { importX } from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** Imports go only downward: each layer lists the layers above it, which it must not import. */
const above = {
  transport: ['protocol', 'storage', 'coordination'],
  protocol: ['storage', 'coordination'],
  storage: ['coordination'],
};

/**
 * Within the coordination layer, imports go one way too: each folder lists the folders that it may
 * import, beside the layers below.
 */
const coordination = {
  election: [],
  'failure-detection': ['election'],
  capacity: ['election'],
  'shard-state': ['capacity', 'election'],
  scheduling: ['shard-state', 'capacity', 'election'],
  shard: ['scheduling', 'shard-state', 'capacity', 'election'],
  leader: ['capacity', 'election'],
  autoscaling: ['capacity', 'election'],
  api: [],
  controller: [
    'api',
    'autoscaling',
    'capacity',
    'election',
    'failure-detection',
    'leader',
    'shard',
  ],
};

/** Each module begins with a doc comment of its own, apart from that of its first declaration. */
const moduleComment = {
  meta: { type: 'suggestion', messages: { missing: 'Module has no doc comment at its top.' } },
  create: (context) => ({
    Program(program) {
      const comments = context.sourceCode.getAllComments();
      const comment = comments.find(({ type }) => type !== 'Shebang');
      const [statement] = program.body;
      const isFirst =
        comment?.type === 'Block' &&
        comment.value.startsWith('*') &&
        (!statement || comment.range[1] <= statement.range[0]);
      const next = context.sourceCode.getTokenAfter(comment ?? program, { includeComments: true });
      const isApart =
        isFirst &&
        (!next ||
          statement?.type === 'ImportDeclaration' ||
          next.loc.start.line > comment.loc.end.line + 1);
      if (!isApart) context.report({ loc: { line: 1, column: 0 }, messageId: 'missing' });
    },
  }),
};

export default tseslint.config(
  { ignores: ['**/target/', '**/node_modules/'] },
  ...tseslint.configs.recommendedTypeChecked,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    linterOptions: { reportUnusedDisableDirectives: 'error' },
    plugins: { 'import-x': importX },
    settings: {
      'import-x/extensions': ['.ts'],
      'import-x/parsers': { '@typescript-eslint/parser': ['.ts'] },
      'import-x/resolver-next': [createTypeScriptImportResolver()],
    },
    rules: {
      'import-x/no-cycle': 'error',
      'no-useless-rename': 'error',
      'object-shorthand': ['error', 'properties'],
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'default', format: ['camelCase'], leadingUnderscore: 'allow' },
        { selector: 'variable', format: ['camelCase', 'UPPER_CASE'], leadingUnderscore: 'allow' },
        { selector: 'import', format: ['camelCase', 'PascalCase'] },
        { selector: 'typeLike', format: ['PascalCase'] },
        // Names of files, of the wire and of tables of cases stand as they are there.
        { selector: ['objectLiteralProperty', 'typeProperty', 'classProperty'], format: null },
        { selector: 'variable', modifiers: ['destructured'], format: null },
      ],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-floating-promises': [
        'error',
        // The test runner waits for its tests by itself.
        { allowForKnownSafeCalls: [{ from: 'package', name: 'test', package: 'node:test' }] },
      ],
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      complexity: ['error', 15],
      eqeqeq: 'error',
      'max-lines': ['error', { max: 300, skipBlankLines: false, skipComments: false }],
      'max-lines-per-function': ['error', 50],
      'max-params': ['error', 4],
      'no-console': 'error',
      'prefer-const': 'error',
    },
  },
  {
    files: ['src/**/*.ts', 'packages/*/src/**/*.ts'],
    plugins: { jsdoc, mothbank: { rules: { 'module-comment': moduleComment } } },
    rules: {
      // The two sides of a comparison are `a` and `b`, and valibot's schemas are written with `v`.
      'id-length': ['error', { min: 2, properties: 'never', exceptions: ['a', 'b', 'v', '_'] }],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          enableFixer: false,
          require: {
            ClassDeclaration: true,
            FunctionDeclaration: true,
            ArrowFunctionExpression: true,
          },
          contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration'],
        },
      ],
      'mothbank/module-comment': 'error',
    },
  },
  {
    // A test tells one story from beginning to end, and a simulated outside has many cases.
    files: ['test/**/*.ts'],
    rules: {
      complexity: ['error', 25],
      'max-lines-per-function': ['error', 130],
      'max-params': ['error', 5],
    },
  },
  ...Object.entries(above).map(([layer, uppers]) => ({
    files: [`src/${layer}/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        { patterns: uppers.map((upper) => ({ group: [`**/${upper}/**`] })) },
      ],
    },
  })),
  {
    // A package stands alone: programs embed it without the daemon.
    files: ['packages/*/src/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ regex: '^(\\.\\./){2,}' }] }],
    },
  },
  ...Object.entries(coordination).map(([folder, lowers]) => ({
    files: [`src/coordination/${folder}/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: Object.keys(coordination)
            .filter((other) => other !== folder && !lowers.includes(other))
            .map((other) => ({ group: [`**/${other}/*`] })),
        },
      ],
    },
  })),
);
