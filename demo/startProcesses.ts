/** Starts the demo's child processes and ends only those. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { join } from 'node:path';
import { createInterface } from 'node:readline';

/** A process that the demo has started. */
export interface Process {
  readonly name: string;
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Resolves with the exit code, or undefined if a signal ended the process. */
  readonly exited: Promise<number | undefined>;
}

export interface ProcessSpec {
  readonly name: string;
  /** Compiled script, relative to the root of the build. */
  readonly script: string;
  readonly args: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  /** Parses a JSON line of its output; returns the ports once the process is ready. */
  readonly readReady: (line: unknown) => ReadyPorts | undefined;
}

/** Ports by listener name. */
export type ReadyPorts = Readonly<Record<string, number>>;

export interface StartedProcess {
  readonly process: Process;
  readonly ports: ReadyPorts;
}

export interface Processes {
  readonly start: (spec: ProcessSpec) => Promise<StartedProcess>;
  /** Kills every process that is still running. */
  readonly stopAll: () => void;
}

/** Time in which a process has to become ready, milliseconds. */
const READY_TIMEOUT_MS = 10_000;

const BUILD_ROOT = join(__dirname, '..');

/** Creates an empty set of processes; those still running are killed when the demo exits. */
export function startProcesses(): Processes {
  const running = new Set<ChildProcess>();
  const stopAll = (): void => {
    for (const child of running) child.kill('SIGKILL');
    running.clear();
  };
  process.on('exit', stopAll);
  return {
    stopAll,
    start: async (spec) => {
      const child = spawn(process.execPath, [join(BUILD_ROOT, spec.script), ...spec.args], {
        env: { ...process.env, ...spec.environment },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      running.add(child);
      const exited = new Promise<number | undefined>((resolve) => {
        child.once('exit', (code) => {
          running.delete(child);
          resolve(code ?? undefined);
        });
      });
      const ports = await waitUntilReady(child, spec);
      const signal = (name: NodeJS.Signals): void => {
        if (running.has(child)) child.kill(name);
      };
      return { process: { name: spec.name, signal, exited }, ports };
    },
  };
}

function waitUntilReady(child: ChildProcess, spec: ProcessSpec): Promise<ReadyPorts> {
  return new Promise((resolve, reject) => {
    const outputLines: string[] = [];
    const fail = (why: string): void => {
      reject(new Error(`${spec.name} ${why}: ${outputLines.slice(-5).join(' / ')}`));
    };
    const timer = setTimeout(() => {
      fail('was not ready in time');
    }, READY_TIMEOUT_MS);
    child.once('exit', () => {
      clearTimeout(timer);
      fail('exited before it was ready');
    });
    for (const stream of [child.stdout, child.stderr]) {
      if (stream === null) continue;
      createInterface({ input: stream }).on('line', (line) => {
        outputLines.push(line);
        if (outputLines.length > 100) outputLines.shift();
        const ports = spec.readReady(parseLine(line));
        if (ports === undefined) return;
        clearTimeout(timer);
        resolve(ports);
      });
    }
  });
}

function parseLine(line: string): unknown {
  try {
    return JSON.parse(line) as unknown;
  } catch {
    return undefined;
  }
}
