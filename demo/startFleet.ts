/** Starts and replaces the demo's daemons and publishes them on the membership list. */

import { randomBytes } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { hashToken } from '../src/adapters/hashToken';
import { callJson } from './http';
import { FAILURE_DOMAINS } from './site';
import type { Platform } from './startPlatform';
import type { Process, Processes, ReadyPorts } from './startProcesses';

export interface DemoVm {
  readonly id: string;
  readonly process: Process;
  readonly url: string;
  readonly ports: ReadyPorts;
}

export interface DemoFleet {
  /** VMs on the platform's list, by id. */
  readonly vms: () => ReadonlyMap<string, DemoVm>;
  /** Starts a VM, or its next incarnation, and adds it to the platform's list. */
  readonly start: (id: string) => Promise<DemoVm>;
  /** Removes a VM from the platform's list. */
  readonly remove: (id: string) => Promise<void>;
  /** Removes the settings files. */
  readonly close: () => void;
}

/** Bearer token of the operator who may confirm. */
export const OPERATOR_TOKEN = 'demo-operator';

const HOST = '127.0.0.1';

/** Validity of address answers, milliseconds; short, so that a drain fits into the demo. */
const ANSWER_VALID_MS = 1500;

/**
 * Creates a fleet without VMs.
 *
 * @param processes starts the daemons
 * @param platform holds the list of VMs
 */
export function startFleet(processes: Processes, platform: Platform): DemoFleet {
  const folder = mkdtempSync(join(tmpdir(), 'citronpass-demo-'));
  const key = randomBytes(32).toString('hex');
  const vms = new Map<string, DemoVm>();
  const publish = async (): Promise<void> => {
    const listed = [...vms.values()].map((vm) => ({ vm: createVmEntry(vm), state: 'live' }));
    await callJson(`${platform.membership.url}/v1/vms`, { method: 'POST', body: { vms: listed } });
  };
  return {
    vms: () => vms,
    start: async (id) => {
      const file = join(folder, `${id}.toml`);
      writeFileSync(file, createSettings(id, platform));
      const { process, ports } = await processes.start({
        name: id,
        script: 'src/bin/citronpassd.js',
        args: ['--settings', file],
        environment: { CITRONPASS_FLEET_KEY: key },
        readReady: readListening,
      });
      const vm = { id, process, ports, url: `http://${HOST}:${ports.http ?? 0}` };
      vms.set(id, vm);
      await publish();
      return vm;
    },
    remove: async (id) => {
      vms.delete(id);
      await publish();
    },
    close: () => {
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

function getFailureDomain(id: string): string {
  const number = Number(id.replace(/\D/g, ''));
  return FAILURE_DOMAINS[(number - 1) % FAILURE_DOMAINS.length] ?? 'a';
}

function createVmEntry({ id, ports }: DemoVm): object {
  const at = (name: string) => ({ host: HOST, port: ports[name] ?? 0 });
  const addresses = { http: at('http'), peer: at('peer'), gossip: at('gossip') };
  return { id, incarnation: 0, failureDomain: getFailureDomain(id), region: 'demo', addresses };
}

function createSettings(id: string, { table, membership }: Platform): string {
  return `[vm]
id = "${id}"
region = "demo"
failure_domain = "${getFailureDomain(id)}"

[listen]
http = "${HOST}:0"
peer = "${HOST}:0"
gossip = "${HOST}:0"

[platform]
table = "${table.url}"
membership = "${membership.url}"

[fleet]
name = "demo"
answer_valid_ms = ${ANSWER_VALID_MS}
key = { env = "CITRONPASS_FLEET_KEY" }

[[operators]]
name = "amina"
role = "confirm"
token_hash = "${hashToken(OPERATOR_TOKEN)}"
`;
}

function readListening(line: unknown): ReadyPorts | undefined {
  if (typeof line !== 'object' || line === null || !('message' in line)) return undefined;
  if (line.message !== 'listening') return undefined;
  const { http, peer, gossip } = line as unknown as Record<'http' | 'peer' | 'gossip', number>;
  return { http, peer, gossip };
}
