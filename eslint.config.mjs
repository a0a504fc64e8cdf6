import eslint from '@eslint/js';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'node_modules/', 'coverage/', 'src/generated/'] },
  eslint.configs.recommended,
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  prettier,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      'max-lines': ['error', { max: 250, skipBlankLines: true, skipComments: true }],
      'no-restricted-syntax': [
        'error',
        { selector: 'ExportDefaultDeclaration', message: 'Export by name.' },
      ],
    },
  },
  {
    files: ['src/**/*.ts'],
    ignores: ['src/node/**', 'src/adapters/**', 'src/bin/**', '**/*.test.ts'],
    rules: {
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'Date', 'performance'],
      'no-restricted-properties': [
        'error',
        { object: 'Math', property: 'random', message: 'Randomness comes in with the event.' },
      ],
    },
  },
  {
    files: ['**/*.test.ts', 'golden/**/*.ts'],
    rules: { 'max-lines': 'off' },
  },
  {
    files: ['**/*.mjs', '**/*.cjs'],
    extends: [tseslint.configs.disableTypeChecked],
    languageOptions: {
      globals: {
        __dirname: 'readonly',
        console: 'readonly',
        module: 'readonly',
        process: 'readonly',
        require: 'readonly',
      },
    },
    rules: { '@typescript-eslint/no-require-imports': 'off', 'no-restricted-syntax': 'off' },
  },
);
