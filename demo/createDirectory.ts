/**
 * A caller's directory of the fleet: asks a known VM for the addresses to use, caches the answer while it
 * is valid, and selects another address when one fails.
 */

import type { Address } from '../src/vms/vm';
import { callJson } from './http';
import { sleep } from './sleep';

export interface DirectoryEntry {
  readonly url: string;
  /** Prefix of the caller's operation ids; the VM that issued it owns these operations. */
  readonly ticket: string;
}

export interface Directory {
  readonly current: () => Promise<DirectoryEntry>;
  /** Selects another address for a retry. */
  readonly next: () => string;
  /** Drops the cached answer; the next query goes to another VM. */
  readonly invalidate: () => void;
}

export interface DirectoryOptions {
  readonly token: string;
  /** Name of the caller; VMs use it to spread callers over the fleet. */
  readonly name: string;
  /** URLs of the VMs that can be queried. */
  readonly known: () => readonly string[];
}

interface AddressReply {
  readonly addresses: readonly Address[];
  readonly validForMs: number;
  readonly ticket?: string;
}

/** Delay before a failed query is repeated, milliseconds. */
const REFRESH_RETRY_MS = 100;

const REFRESH_TIMEOUT_MS = 1000;

/**
 * Creates a directory with an empty cache.
 *
 * @param options the caller's token and name, and the known VMs
 */
export function createDirectory({ token, name, known }: DirectoryOptions): Directory {
  let urls: readonly string[] = [];
  let ticket = '';
  let validUntilMs = 0;
  let nextIndex = 0;
  const pick = (from: readonly string[]): string => {
    nextIndex += 1;
    return from[nextIndex % Math.max(1, from.length)] ?? '';
  };
  const refresh = async (): Promise<void> => {
    try {
      const url = `${pick(known())}/v1/addresses?caller=${name}`;
      const { status, body } = await callJson(url, { token, timeoutMs: REFRESH_TIMEOUT_MS });
      const reply = body as AddressReply;
      if (status !== 200 || reply.ticket === undefined || reply.addresses.length === 0) return;
      urls = reply.addresses.map(({ host, port }) => `http://${host}:${port}`);
      ticket = reply.ticket;
      validUntilMs = Date.now() + reply.validForMs;
    } catch {
      validUntilMs = 0;
    }
  };
  return {
    current: async () => {
      while (Date.now() >= validUntilMs) {
        await refresh();
        if (Date.now() >= validUntilMs) await sleep(REFRESH_RETRY_MS);
      }
      return { url: urls[0] ?? '', ticket };
    },
    next: () => pick([...new Set([...urls, ...known()])]),
    invalidate: () => {
      validUntilMs = 0;
    },
  };
}
