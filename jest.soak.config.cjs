/** The fault soak with separate processes, by hand: SOAK_SEED and SOAK_SECONDS choose a run. */
module.exports = {
  ...require('./jest.config.cjs'),
  testMatch: ['**/platform/tests/soak/*.soak.ts'],
  testPathIgnorePatterns: ['/node_modules/'],
  maxWorkers: 1,
};
