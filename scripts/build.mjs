// Bundles each binary into one file, so that a process loads only the modules it uses.
import { readFileSync } from 'node:fs';
import { chmod, rm } from 'node:fs/promises';
import { build } from 'esbuild';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));

// Node.js flags that limit memory, for the process that runs beside every target.
const SMALL_HEAP_FLAGS =
  '--max-semi-space-size=1 --max-old-space-size=48 --v8-pool-size=0 --no-opt';

const BINARIES = [
  { name: 'martenbay', entry: 'src/binary/operator.ts' },
  { name: 'martenbay-entry', entry: 'src/binary/entry.ts' },
  { name: 'martenbay-control', entry: 'src/binary/control.ts' },
  { name: 'martenbay-sidecar', entry: 'src/binary/sidecar.ts', flags: SMALL_HEAP_FLAGS },
  { name: 'martenbay-local', entry: 'src/binary/local.ts' },
  { name: 'stand-ins', entry: 'stand-ins/main.ts' },
  { name: 'separate', entry: 'scripts/separate/main.ts' },
  { name: 'bench', entry: 'bench/main.ts' },
];

/** Binaries that load their program, `NAME-program`, once signals have handlers. */
const LOADERS = ['martenbay-entry', 'martenbay-control', 'martenbay-sidecar', 'martenbay-local'];

/** Binaries that run on the users' platform. */
const PLATFORM_BINARIES = [
  { name: 'platform-gateway', entry: 'platform/gateway.ts' },
  { name: 'platform-store', entry: 'platform/store.ts' },
];

/**
 * Excludes node:http2 from a bundle, for a shorter start-up. undici works without it if loading it
 * fails.
 */
const withoutHttp2 = {
  name: 'without-http2',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^node:http2$/ }, ({ path }) => ({ path, namespace: 'excluded' }));
    onLoad({ filter: /.*/, namespace: 'excluded' }, ({ path }) => ({
      contents: `throw new Error('${path} is excluded from this bundle')`,
    }));
  },
};

/** Leaves the program of a loader out of the loader's bundle; it is a bundle of its own. */
const withSeparateProgram = (program) => ({
  name: 'separate-program',
  setup({ onResolve }) {
    onResolve({ filter: /-program$/ }, () => ({ path: `./${program}.cjs`, external: true }));
  },
});

// The default folder dist/ gets all binaries, any other one only those of the platform.
const folder = process.argv[2] ?? 'dist';
const binaries = folder === 'dist' ? [...BINARIES, ...PLATFORM_BINARIES] : PLATFORM_BINARIES;
const loaders = new Set([...LOADERS, ...PLATFORM_BINARIES.map(({ name }) => name)]);

function bundle(name, entryPoint, options = {}) {
  return build({
    entryPoints: [entryPoint],
    outfile: `${folder}/${name}.cjs`,
    bundle: true,
    minifySyntax: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    logLevel: 'warning',
    define: { MARTENBAY_VERSION: JSON.stringify(version) },
    external: ['bufferutil', 'utf-8-validate'],
    ...options,
  });
}

async function bundleBinary({ name, entry, flags }) {
  const banner = { js: `#!/usr/bin/env -S node${flags === undefined ? '' : ` ${flags}`}` };
  const plugins = entry.startsWith('platform/') ? [withoutHttp2] : [];
  if (loaders.has(name)) {
    const program = `${name}-program`;
    await bundle(program, entry.replace('.ts', '-program.ts'), { plugins });
    await bundle(name, entry, {
      banner,
      plugins: [withSeparateProgram(program)],
      // With `require`, Node.js does not start its loader of ES modules.
      supported: { 'dynamic-import': false },
    });
  } else await bundle(name, entry, { banner, plugins });
  await chmod(`${folder}/${name}.cjs`, 0o755);
}

await rm(folder, { recursive: true, force: true });
await Promise.all(binaries.map(bundleBinary));
