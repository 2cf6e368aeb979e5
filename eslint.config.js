import tseslint from 'typescript-eslint';

/** Imports go only downward: each layer lists the layers above it, which it must not import. */
const above = {
  transport: ['protocol', 'storage', 'coordination'],
  protocol: ['storage', 'coordination'],
  storage: ['coordination'],
};

export default tseslint.config(
  { ignores: ['target/', 'node_modules/'] },
  ...tseslint.configs.recommended,
  {
    rules: {
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      eqeqeq: 'error',
      'no-console': 'error',
      'prefer-const': 'error',
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
);
