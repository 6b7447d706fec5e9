// Bundles each binary into one file under dist/, so that a process loads nothing it does not use.
import { readFileSync } from 'node:fs';
import { chmod, rm } from 'node:fs/promises';
import { build } from 'esbuild';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));

// Heap limits of the small processes; docs/FOOTPRINT.md has the measurement.
const SMALL = '--max-semi-space-size=1 --max-old-space-size=48 --v8-pool-size=0 --no-opt';

const BINARIES = [
  { name: 'martenbay', entry: 'src/binary/operator.ts' },
  { name: 'martenbay-entry', entry: 'src/binary/entry.ts' },
  { name: 'martenbay-control', entry: 'src/binary/control.ts' },
  { name: 'martenbay-sidecar', entry: 'src/binary/sidecar.ts', flags: SMALL },
  { name: 'martenbay-local', entry: 'src/binary/local.ts' },
  { name: 'stand-ins', entry: 'stand-ins/main.ts' },
  { name: 'separate', entry: 'scripts/separate/main.ts' },
  { name: 'bench', entry: 'bench/main.ts' },
];

/** The programs that run on the users' platform. */
const PLATFORM_BINARIES = [
  { name: 'platform-gateway', entry: 'platform/gateway.ts' },
  { name: 'platform-store', entry: 'platform/store.ts' },
];

/**
 * Leaves HTTP/2 out of a bundle; undici goes without it where it can't be loaded. Purpose: a process that
 * starts again serves sooner. Loading it took 11 of 136 ms of processor time until a gateway served.
 */
const withoutHttp2 = {
  name: 'without-http2',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^node:http2$/ }, ({ path }) => ({ path, namespace: 'left-out' }));
    onLoad({ filter: /.*/, namespace: 'left-out' }, ({ path }) => ({
      contents: `throw new Error('${path} is left out of this program')`,
    }));
  },
};

// Without a folder every program goes to dist/; `target` gets those of the platform alone.
const folder = process.argv[2] ?? 'dist';
const binaries = folder === 'dist' ? [...BINARIES, ...PLATFORM_BINARIES] : PLATFORM_BINARIES;

await rm(folder, { recursive: true, force: true });
await Promise.all(
  binaries.map(async ({ name, entry, flags }) => {
    const outfile = `${folder}/${name}.cjs`;
    await build({
      entryPoints: [entry],
      outfile,
      bundle: true,
      minifySyntax: true,
      platform: 'node',
      target: 'node20',
      format: 'cjs',
      mainFields: ['module', 'main'],
      logLevel: 'warning',
      define: { MARTENBAY_VERSION: JSON.stringify(version) },
      banner: { js: `#!/usr/bin/env -S node${flags === undefined ? '' : ` ${flags}`}` },
      external: ['bufferutil', 'utf-8-validate'],
      plugins: entry.startsWith('platform/') ? [withoutHttp2] : [],
    });
    await chmod(outfile, 0o755);
  }),
);
