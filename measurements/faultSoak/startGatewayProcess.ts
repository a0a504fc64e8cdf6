/** The real daemon as a process of its own, with settings in a file, behind a proxy to the store. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { findFreeAddresses } from '../../standins/proxy/listenOnLoopback';
import type { FaultProxy } from '../../standins/proxy/startProxy';
import { startProxy } from '../../standins/proxy/startProxy';

export interface GatewayProcess {
  readonly name: string;
  readonly directory: string;
  readonly storeProxy: FaultProxy;
  /** Sends a signal to this process alone. */
  readonly signal: (signal: NodeJS.Signals) => void;
  /** The newest lines of its log. */
  readonly log: () => readonly string[];
  /** Ends that no signal of the soak explains. */
  readonly unexpectedEnds: () => readonly string[];
  /** Ends the process for good. */
  readonly close: () => void;
}

export interface GatewayProcessOptions {
  readonly name: string;
  readonly zone: string;
  /** The bundled daemon. */
  readonly program: string;
  /** Folder for the settings file. */
  readonly folder: string;
  readonly storeAddress: string;
}

/** Pause before a process that ended is started again, milliseconds. */
const RESTART_MS = 300;

/** Lines that are kept for a seed that fails. */
const LOG_LINES = 4_000;

const ENDING_SIGNALS: ReadonlySet<string> = new Set(['SIGKILL', 'SIGTERM']);

/** Starts the process, and starts it again whenever it ends. */
export async function startGatewayProcess(options: GatewayProcessOptions): Promise<GatewayProcess> {
  const { name, zone, program, folder } = options;
  const [callers = '', readiness = '', directory = '', peers = '', tables = '', metrics = ''] =
    await findFreeAddresses(6);
  const storeProxy = await startProxy(options.storeAddress);
  const file = join(folder, `${name}.toml`);
  const lines = [
    `[vm]\nname = "${name}"\nfailure_domain = "${zone}"\nregion = "r"\ncores = 1`,
    `[listen]\ncallers = "${callers}"\nreadiness = "${readiness}"\ndirectory = "${directory}"`,
    `peers = "${peers}"\ntables = "${tables}"\nmetrics = "${metrics}"`,
    `[store]\naddress = "${storeProxy.address}"\n[drain]\ngrace_s = 5\n[servers]\ndrain_ms = 1000`,
    '[credentials]\nrevoke_ms = 5000\n[retries]\nratio = 0.2\nextra = 200\nwindow_s = 10',
    '[directory]\nmax_validity_s = 2',
  ];
  writeFileSync(file, `${lines.join('\n')}\n`);
  const log: string[] = [];
  const unexpected: string[] = [];
  let isClosed = false;
  let wasSignalled = false;
  let child: ChildProcess;
  const start = (): void => {
    wasSignalled = false;
    child = spawn(process.execPath, ['--max-old-space-size=96', program, '--settings', file], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream?.on('data', (chunk: Buffer) => {
        log.push(...chunk.toString().split('\n').filter(Boolean));
        if (log.length > LOG_LINES) log.splice(0, log.length - LOG_LINES);
      });
    }
    child.once('exit', (code, signal) => {
      if (isClosed) return;
      if (!wasSignalled) unexpected.push(`${name} ended: code ${code ?? ''} ${signal ?? ''}`);
      setTimeout(() => {
        if (!isClosed) start();
      }, RESTART_MS);
    });
  };
  start();
  // A soak that is ended early leaves no daemon behind.
  const endChild = (): void => {
    child.kill('SIGKILL');
  };
  process.once('exit', endChild);
  return {
    name,
    directory,
    storeProxy,
    signal: (signal) => {
      if (ENDING_SIGNALS.has(signal)) wasSignalled = true;
      child.kill(signal);
    },
    log: () => log,
    unexpectedEnds: () => unexpected,
    close: () => {
      isClosed = true;
      process.off('exit', endChild);
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      storeProxy.close();
    },
  };
}
