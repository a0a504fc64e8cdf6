/**
 * Starts the project's program on a machine of its own, with the command and the template of the deploy file.
 * The fields that the template names are those of a small deployment (kbw-bench).
 */

import { spawn } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { findFreePorts, HOST } from './ports.mjs';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

export const BOUNDS = {
  addrReuseS: 2,
  stableWindowMs: 3000,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBudgetExtra: 196,
  ttl_max_s: 5,
};

/** Delay before a process that ended is started again. */
const RESTART_MS = 400;

function readDeployFile(name) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const value = new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)?.[1];
  if (value === undefined) throw new Error(`the deploy file has no ${name}`);
  return value;
}

/** Fills the places of a template that has values only, and no sections. */
function fillTemplate(template, fields) {
  return template.replace(/\{\{([^}]+)\}\}/g, (_, path) =>
    String(path.split('.').reduce((value, name) => value?.[name], fields) ?? ''),
  );
}

async function isReady(address) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const outgoing = request({ host, port, path: '/-/ready', agent: false }, (reply) => {
      reply.resume();
      resolve(reply.statusCode === 200);
    });
    outgoing.setTimeout(500, () => outgoing.destroy());
    outgoing.on('error', () => {
      resolve(false);
    });
    outgoing.end();
  });
}

/**
 * @param options.name name of the machine
 * @param options.zone its zone
 * @param options.storeAddress address of the platform's store for this machine
 * @param options.folder temporary folder for its settings
 * @param options.restarts whether the platform starts the process again after it ended
 * @param options.onEnd called with the code and the signal each time the process has ended
 */
export async function startGateway(options) {
  const { name, zone, storeAddress, folder, restarts = true, onEnd = () => undefined } = options;
  const [front, ready, directory, inner, metrics] = await findFreePorts(5);
  const fields = {
    nodeName: name,
    zone,
    region: 'nairobi',
    ip: HOST,
    limits: { cpuShare: 0.675 },
    listen: {
      front: `${HOST}:${front}`,
      ready: `${HOST}:${ready}`,
      directory: `${HOST}:${directory}`,
    },
    portRange: [inner, metrics],
    platform: { address: storeAddress },
    bounds: BOUNDS,
  };
  const template = readFileSync(join(ROOT, readDeployFile('template')), 'utf8');
  const settings = join(folder, `${name}.settings`);
  writeFileSync(settings, fillTemplate(template, fields));
  const [program, ...words] = readDeployFile('run').split(' ');
  const log = [];
  let isClosed = false;
  let child;
  let stderr = '';
  const start = () => {
    child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, CITRONPASS_NODE_FILE: settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.on('data', (chunk) => log.push(...chunk.toString().split('\n').filter(Boolean)));
    child.stderr.on('data', (chunk) => {
      stderr += chunk.toString();
    });
    child.once('exit', (code, signal) => {
      if (isClosed) return;
      const error = stderr.split('\n').find((line) => /Error/.test(line));
      onEnd({ name, code, signal, error });
      stderr = '';
      if (restarts) setTimeout(start, RESTART_MS);
    });
  };
  start();
  process.once('exit', () => {
    child.kill('SIGKILL');
  });
  return {
    name,
    front: fields.listen.front,
    signal: (signal) => child.kill(signal),
    log: () => log,
    isReady: () => isReady(fields.listen.ready),
    /** Resolves to whether the process became ready in time. */
    waitUntilReady: async (limitMs = 15_000) => {
      for (let waitedMs = 0; waitedMs < limitMs; waitedMs += 100) {
        if (await isReady(fields.listen.ready)) return true;
        await sleep(100);
      }
      return false;
    },
    close: () => {
      isClosed = true;
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    },
  };
}
