/** Runs the project's program as the deploy file does, with the settings of a small machine. */

import { spawn } from 'node:child_process';
import { createWriteStream, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { findFreeAddresses } from './listen.mjs';

/** The deploy file's `run`, from the root of the repository. */
const COMMAND = ['--max-old-space-size=96', '--max-semi-space-size=2', 'target/citronpassd.js'];

/** The settings that the template of the deploy file gives for a machine. */
function createSettings({ name, zone, storeAddress, addresses }) {
  const [callers, ready, directory, peers, metrics] = addresses;
  return `[vm]
name = "${name}"
failure_domain = "${zone}"
region = "region"
cores = 0.675
memory_mb = "350"
max_descriptors = "4100"
[listen]
callers = "${callers}"
readiness = "${ready}"
directory = "${directory}"
peers = "${peers}"
metrics = "${metrics}"
tables = "${peers}"
[store]
address = "${storeAddress}"
[drain]
grace_s = 8
[servers]
drain_ms = 2000
[credentials]
revoke_ms = 5000
[retries]
ratio = 0.2
extra = 200
window_s = 10
[directory]
max_validity_s = 5
`;
}

/**
 * @param options.addresses addresses of an earlier process on the machine; free ones by default
 * @param options.onExit called when the process has ended
 */
export async function startGateway({ name, zone, folder, storeAddress, addresses, onExit }) {
  const listen = addresses ?? (await findFreeAddresses(5));
  const settingsPath = join(folder, `${name}.toml`);
  writeFileSync(settingsPath, createSettings({ name, zone, storeAddress, addresses: listen }));
  const child = spawn(process.execPath, COMMAND, {
    env: { PATH: process.env.PATH, CITRONPASS_NODE_FILE: settingsPath },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
  child.stdout.pipe(log, { end: false });
  child.stderr.pipe(log, { end: false });
  child.once('exit', (code, signal) => onExit?.(signal ?? `exit code ${code}`));
  const [callers, ready, directory] = listen;
  return {
    name,
    addresses: listen,
    callers,
    directory,
    readyAddress: ready,
    pid: child.pid,
    signal: (signal) => child.kill(signal),
    isRunning: () => child.exitCode === null && child.signalCode === null,
    kill: () => child.kill('SIGKILL'),
  };
}

function isReady({ readyAddress }) {
  return new Promise((resolve) => {
    const request = get(`http://${readyAddress}/-/ready`, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on('error', () => resolve(false));
  });
}

/** @returns whether all processes were ready in time */
export async function waitUntilReady(gateways, timeoutMs) {
  for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += 100) {
    const ready = await Promise.all(gateways.map(isReady));
    if (ready.every(Boolean)) return true;
    await sleep(100);
  }
  return false;
}
