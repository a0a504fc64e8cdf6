/**
 * Bundles the daemon of the version in production, which the deploy file names, from the repository's history. It
 * uses this version's packages.
 */

import { execFileSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parse } from 'smol-toml';
import { bundleDaemon } from './bundleDaemon';

/**
 * @returns path of the bundled program
 * @throws Error if the deploy file names no commit, or the history does not reach back to it
 */
export async function bundleProductionDaemon(): Promise<string> {
  const { production } = parse(readFileSync('deploy/system.toml', 'utf8'));
  if (typeof production !== 'string') throw new Error('deploy/system.toml names no production');
  const folder = mkdtempSync(join(tmpdir(), 'production-'));
  const archive = join(folder, 'sources.tar');
  try {
    execFileSync('git', ['archive', '-o', archive, production, 'platform', 'src']);
  } catch (error) {
    throw new Error(`The history lacks ${production}; fetch all of it`, { cause: error });
  }
  execFileSync('tar', ['-xf', archive, '-C', folder]);
  const program = await bundleDaemon(folder);
  rmSync(folder, { recursive: true });
  return program;
}
