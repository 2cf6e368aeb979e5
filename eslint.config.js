import { existsSync } from 'node:fs';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** Imports go only downward: each layer lists the layers above it, which it must not import. */
const above = {
  transport: ['protocol', 'storage', 'coordination'],
  protocol: ['storage', 'coordination'],
  storage: ['coordination'],
};

/**
 * Files that are not yet in line with a rule, by rule. This list only ever shrinks: a new file
 * keeps all rules, and a file that was brought in line is taken off.
 */
const exceptions = {
  'max-lines': ['src/constants.ts'],
};

for (const file of Object.values(exceptions).flat()) {
  if (!existsSync(new URL(file, import.meta.url))) {
    throw new Error(`eslint.config.js: the list of exceptions names ${file}, which is not there`);
  }
}

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
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    linterOptions: { reportUnusedDisableDirectives: 'error' },
    rules: {
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
  ...Object.entries(exceptions).map(([rule, files]) => ({ files, rules: { [rule]: 'off' } })),
);
