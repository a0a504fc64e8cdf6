/** Draws the work and faults of a run from its seed, before it starts, so that it can be shrunk. */

import { createRandom, type Random } from '../../src/random/createRandom';
import { faultTypes, type CallKind, type Fault, type SoakPlan, type Work } from './soakItem';

/** Time in which the nodes find each other before work starts, milliseconds. */
export const WARM_UP_MS = 2500;

/** Mean time between two items, milliseconds. */
const ITEM_MS = 30;

/** Share of items that are faults. */
const FAULT_SHARE = 0.08;

/** Share of calls that are sent once more, late, after their answer. */
const REPEAT_SHARE = 0.15;

const kinds: readonly CallKind[] = ['deposit', 'booking', 'hold', 'own-key', 'once', 'lookup'];

/** Results that a VM remembers: so few that it forgets, or enough. */
const memories = [4, 200, 200, 200] as const;

/**
 * Draws a plan.
 *
 * @param steps items, faults among them
 */
export function planSoak(seed: number, steps: number): SoakPlan {
  const random = createRandom(seed);
  const nodes = 3 + Math.floor(6 * random.next() ** 2);
  const remembered = random.pick(memories);
  const work: Work[] = [];
  const faults: Fault[] = [];
  let atMs = WARM_UP_MS;
  for (let item = 0; item < steps; item += 1) {
    atMs += random.exponential(ITEM_MS);
    if (random.next() < FAULT_SHARE) faults.push(drawFault(random, atMs));
    else work.push(drawWork(random, atMs));
  }
  return { seed, nodes, remembered, work, faults, endsAtMs: atMs };
}

function drawFault(random: Random, atMs: number): Fault {
  const type = random.pick(faultTypes);
  const forMs = 200 + random.exponential(3000);
  return { type, atMs, pick: random.integer(1 << 20), forMs };
}

function drawWork(random: Random, atMs: number): Work {
  const draw = random.next();
  if (draw < 0.02) return { type: 'change', atMs, share: 1 + random.integer(9) };
  if (draw < 0.2) {
    const prompt = Array.from({ length: 2 + random.integer(6) }, () => random.integer(500));
    return { type: 'request', atMs, prompt, maxTokens: 2 + random.integer(8) };
  }
  return {
    type: 'call',
    atMs,
    kind: random.pick(kinds),
    caller: random.integer(4),
    isDoubled: random.next() < 0.15,
    isMisused: random.next() < 0.05,
    isRepeated: random.next() < REPEAT_SHARE,
  };
}
