/**
 * A caller's view of the fleet: asks any VM it knows which addresses to use, keeps the answer for as
 * long as it is good, and goes on to the next address when one fails.
 */

import type { Address } from '../src/vms/vm';
import { callJson } from './http';
import { sleep } from './sleep';

export interface Directions {
  readonly url: string;
  /** Under which the caller numbers its operations; its home is the VM that gave the answer. */
  readonly ticket: string;
}

export interface Directory {
  readonly current: () => Promise<Directions>;
  /** Another address to try the same thing at. */
  readonly next: () => string;
  /** Drops the answer; the next question goes to another VM. */
  readonly forget: () => void;
}

export interface DirectoryOptions {
  readonly token: string;
  /** Name of the caller, by which answers spread callers over the VMs. */
  readonly name: string;
  /** VMs that the caller was told of at first. */
  readonly known: () => readonly string[];
}

interface AddressReply {
  readonly addresses: readonly Address[];
  readonly validForMs: number;
  readonly ticket?: string;
}

/** Wait before the fleet is asked again after nobody answered, milliseconds. */
const ASK_AGAIN_MS = 100;

const ASK_TIMEOUT_MS = 1000;

/**
 * Starts with no answer.
 *
 * @param options the caller's token, and where to ask first
 */
export function createDirectory({ token, name, known }: DirectoryOptions): Directory {
  let urls: readonly string[] = [];
  let ticket = '';
  let goodUntil = 0;
  let turn = 0;
  const pick = (from: readonly string[]): string => {
    turn += 1;
    return from[turn % Math.max(1, from.length)] ?? '';
  };
  const ask = async (): Promise<void> => {
    try {
      const url = `${pick(known())}/v1/addresses?caller=${name}`;
      const { status, body } = await callJson(url, { token, timeoutMs: ASK_TIMEOUT_MS });
      const reply = body as AddressReply;
      if (status !== 200 || reply.ticket === undefined || reply.addresses.length === 0) return;
      urls = reply.addresses.map(({ host, port }) => `http://${host}:${port}`);
      ticket = reply.ticket;
      goodUntil = Date.now() + reply.validForMs;
    } catch {
      goodUntil = 0;
    }
  };
  return {
    current: async () => {
      while (Date.now() >= goodUntil) {
        await ask();
        if (Date.now() >= goodUntil) await sleep(ASK_AGAIN_MS);
      }
      return { url: urls[0] ?? '', ticket };
    },
    next: () => pick([...new Set([...urls, ...known()])]),
    forget: () => {
      goodUntil = 0;
    },
  };
}
