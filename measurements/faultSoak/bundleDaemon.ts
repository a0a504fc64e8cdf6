/** Bundles the daemon as the deploy file does, so that the fault soak can run it as a process. */

import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build } from 'esbuild';

/**
 * @param sources folder with the sources of another version; by default, those of this one
 * @returns path of the bundled program
 */
export async function bundleDaemon(sources = process.cwd()): Promise<string> {
  const outfile = join(mkdtempSync(join(tmpdir(), 'daemon-')), 'citronpassd.js');
  await build({
    entryPoints: [join(sources, 'platform/main.ts')],
    nodePaths: [join(process.cwd(), 'node_modules')],
    bundle: true,
    platform: 'node',
    target: 'node20',
    mainFields: ['module', 'main'],
    outfile,
    logLevel: 'warning',
  });
  return outfile;
}
