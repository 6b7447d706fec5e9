/** Tests are transformed one file at a time; the type checker runs on its own. */
module.exports = {
  testEnvironment: 'node',
  testMatch: ['**/tests/**/*.test.ts'],
  testPathIgnorePatterns: ['/node_modules/', '/tests/crowds/'],
  modulePathIgnorePatterns: ['<rootDir>/dist'],
  testTimeout: 20_000,
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      { jsc: { parser: { syntax: 'typescript' }, target: 'es2022' }, module: { type: 'commonjs' } },
    ],
  },
};
