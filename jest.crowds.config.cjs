/** Tests that send crowds of misbehaving clients to separate processes, one test at a time. */
module.exports = {
  ...require('./jest.config.cjs'),
  testMatch: ['**/tests/crowds/**/*.test.ts'],
  testPathIgnorePatterns: ['/node_modules/'],
  testTimeout: 120_000,
  maxWorkers: 1,
  globalTeardown: '<rootDir>/tests/crowds/report-open-handles.cjs',
  forceExit: true,
};
