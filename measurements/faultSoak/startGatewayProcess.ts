/** Runs the daemon as a child process with a settings file and a proxy between it and the store. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { findFreeAddresses } from '../../standins/proxy/listenOnLoopback';
import type { FaultProxy } from '../../standins/proxy/startProxy';
import type { ServerLinks } from './startServerLinks';
import { startProxy } from '../../standins/proxy/startProxy';

export interface GatewayProcess {
  readonly name: string;
  readonly directory: string;
  /** Address for callers. */
  readonly address: string;
  readonly storeProxy: FaultProxy;
  /** Its links to the backend servers. */
  readonly links: ServerLinks;
  /** Sends a signal to this process only. */
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Most recent lines of the process's log. */
  readonly log: () => readonly string[];
  /** Exits of the process that no signal of the soak caused. */
  readonly unexpectedExits: () => readonly string[];
  /** Whether the process was frozen, ending or not running at any moment of a span of steady time. */
  readonly wasDisturbed: (fromMs: number, toMs: number) => boolean;
  /** Kills the process without a restart. */
  readonly close: () => void;
}

export interface GatewayProcessOptions {
  readonly name: string;
  readonly zone: string;
  /** Path of the bundled daemon. */
  readonly program: string;
  /** Daemon of another version, which every second start runs; none by default. */
  readonly otherProgram?: string | undefined;
  /** Folder for the settings file. */
  readonly folder: string;
  readonly storeAddress: string;
  readonly links: ServerLinks;
}

const RESTART_DELAY_MS = 300;

/** Log lines to keep; they are written out for a seed with findings. */
const MAX_LOG_LINES = 4_000;

const TERMINATING_SIGNALS: ReadonlySet<string> = new Set(['SIGKILL', 'SIGTERM']);
const DISTURBING_SIGNALS: ReadonlySet<string> = new Set(['SIGKILL', 'SIGTERM', 'SIGSTOP']);

/** Starts the process, and restarts it after every exit until it is closed. */
export async function startGatewayProcess(options: GatewayProcessOptions): Promise<GatewayProcess> {
  const { name, zone, program, otherProgram, folder, links } = options;
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
  const recordedExits: string[] = [];
  let isClosed = false;
  let wasSignalled = false;
  let child: ChildProcess;
  const disturbances: { readonly fromMs: number; untilMs: number }[] = [];
  const beginDisturbance = (): void => {
    if (disturbances.at(-1)?.untilMs === Infinity) return;
    disturbances.push({ fromMs: performance.now(), untilMs: Infinity });
  };
  const endDisturbance = (): void => {
    const last = disturbances.at(-1);
    if (last !== undefined) last.untilMs = Math.min(last.untilMs, performance.now());
  };
  let starts = 0;
  const start = (): void => {
    starts += 1;
    const started = starts % 2 === 0 ? (otherProgram ?? program) : program;
    wasSignalled = false;
    endDisturbance();
    child = spawn(process.execPath, ['--max-old-space-size=96', started, '--settings', file], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream?.on('data', (chunk: Buffer) => {
        log.push(...chunk.toString().split('\n').filter(Boolean));
        if (log.length > MAX_LOG_LINES) log.splice(0, log.length - MAX_LOG_LINES);
      });
    }
    child.once('exit', (code, signal) => {
      if (isClosed) return;
      beginDisturbance();
      if (!wasSignalled) recordedExits.push(`${name} ended: code ${code ?? ''} ${signal ?? ''}`);
      setTimeout(() => {
        if (!isClosed) start();
      }, RESTART_DELAY_MS);
    });
  };
  start();
  // Leaves no daemon running if the soak exits early.
  const killChild = (): void => {
    child.kill('SIGKILL');
  };
  process.once('exit', killChild);
  return {
    name,
    directory,
    address: callers,
    storeProxy,
    links,
    signal: (signal) => {
      if (DISTURBING_SIGNALS.has(signal)) beginDisturbance();
      else if (signal === 'SIGCONT' && !wasSignalled) endDisturbance();
      if (TERMINATING_SIGNALS.has(signal)) wasSignalled = true;
      child.kill(signal);
    },
    log: () => log,
    unexpectedExits: () => recordedExits,
    wasDisturbed: (fromMs, toMs) =>
      disturbances.some((span) => span.fromMs <= toMs && span.untilMs >= fromMs),
    close: () => {
      isClosed = true;
      process.off('exit', killChild);
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      storeProxy.close();
      links.close();
    },
  };
}
