const { existsSync } = require('node:fs');
const { join } = require('node:path');

/** Folders with tests; some come only with the first test in them. */
const folders = ['src', 'standins', 'measurements', 'golden', 'ci', 'demo', 'platform'];

/** Jest runs the TypeScript sources through swc; types are checked apart, by `npm run types`. */
module.exports = {
  testEnvironment: 'node',
  roots: folders
    .filter((name) => existsSync(join(__dirname, name)))
    .map((name) => `<rootDir>/${name}`),
  testMatch: ['**/*.test.ts'],
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      { jsc: { target: 'es2022', parser: { syntax: 'typescript' } }, module: { type: 'commonjs' } },
    ],
  },
  maxWorkers: 4,
};
