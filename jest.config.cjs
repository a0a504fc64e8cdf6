/** Jest runs the TypeScript sources through swc; types are checked apart, by `npm run types`. */
module.exports = {
  testEnvironment: 'node',
  roots: [
    '<rootDir>/src',
    '<rootDir>/standins',
    '<rootDir>/measurements',
    '<rootDir>/golden',
    '<rootDir>/ci',
  ],
  testMatch: ['**/*.test.ts'],
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      { jsc: { target: 'es2022', parser: { syntax: 'typescript' } }, module: { type: 'commonjs' } },
    ],
  },
  maxWorkers: 4,
};
