export default {
  files: ['packages/*/dist/**/*.test.js', 'platform/dist/**/*.test.js'],
  timeout: '3m',
  workerThreads: false,
};
