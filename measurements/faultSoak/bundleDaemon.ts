/** Bundles the daemon as the deploy file does, so that the fault soak can run it as a process. */

import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build } from 'esbuild';

/** @returns path of the bundled program */
export async function bundleDaemon(): Promise<string> {
  const outfile = join(mkdtempSync(join(tmpdir(), 'daemon-')), 'citronpassd.js');
  await build({
    entryPoints: [join(process.cwd(), 'platform/main.ts')],
    bundle: true,
    platform: 'node',
    target: 'node20',
    mainFields: ['module', 'main'],
    outfile,
    logLevel: 'warning',
  });
  return outfile;
}
