/** Guards against bodies in tiny chunks that keep all other callers waiting. */

import type { ReadDecision, ReadMeter, ReadTurns } from './createReadTurns';
import { createReadTurns } from './createReadTurns';

const MAX_COSTLY = 2;

/** Pieces of one byte that a single read from a connection can bring. */
const PIECES_PER_READ = 10_000;

let nowMs = 0;
let turns: ReadTurns;
let meters: Map<number, ReadMeter>;

beforeEach(() => {
  meters = new Map();
  nowMs = 1_000;
  turns = createReadTurns({ now: () => nowMs, maxCostly: MAX_COSTLY });
});

const meterOf = (id: number): ReadMeter => {
  const meter = meters.get(id) ?? turns.open(id);
  meters.set(id, meter);
  return meter;
};

/** Receives pieces, each of which takes a thousandth of a millisecond. */
const receive = (id: number, pieces: number, bytes = 1): ReadDecision => {
  let decision: ReadDecision = 'continue';
  for (let piece = 0; piece < pieces && decision !== 'refuse'; piece += 1) {
    nowMs += 0.001;
    decision = meterOf(id).spend(bytes);
  }
  return decision;
};

describe('createReadTurns', () => {
  it.each([
    ['a small body', 1, 800],
    ['a body of 128 KB in large pieces', 2, 65_000],
    ['a body of 4 KB in pieces of ten bytes', 400, 10],
  ])('lets %s come without a wait', (_, pieces, bytes) => {
    expect(receive(1, pieces, bytes)).toBe('continue');
    expect(turns.dueInMs()).toBeUndefined();
  });

  it('reads a single costly body on at once, each time', () => {
    for (let read = 0; read < 100; read += 1) {
      expect(receive(1, PIECES_PER_READ)).toBe('wait');
      expect([turns.dueInMs(), turns.next()]).toEqual([0, 1]);
    }
  });

  it('leaves as much time to other work as a turn has taken where several bodies wait', () => {
    receive(1, PIECES_PER_READ);
    receive(2, PIECES_PER_READ);
    expect(turns.dueInMs()).toBeCloseTo(10, 1);
    nowMs += 10;
    expect(turns.dueInMs()).toBeCloseTo(0, 1);
  });

  it('gives the turn to the body that has caused least work', () => {
    receive(1, 2 * PIECES_PER_READ);
    receive(2, PIECES_PER_READ);
    receive(3, 1_000);
    expect([turns.next(), turns.next(), turns.next(), turns.next()]).toEqual([3, 2, 1, undefined]);
  });

  it('refuses costly bodies beyond the bound, and takes others once these have ended', () => {
    expect([1, 2, 3].map((id) => receive(id, 2 * PIECES_PER_READ))).toEqual([
      'wait',
      'wait',
      'refuse',
    ]);
    meterOf(3).close();
    meterOf(1).close();
    expect(receive(4, 2 * PIECES_PER_READ)).toBe('wait');
  });

  it('does not take a large body in large pieces for a costly one', () => {
    const read = (id: number): void => {
      for (let piece = 0; piece < 20_000; piece += 1) meterOf(id).spend(1_460);
    };
    for (let id = 1; id <= 2 * MAX_COSTLY; id += 1) read(id);
    expect(meterOf(1).spend(1_460)).toBe('wait');
  });

  it('forgets a body that has ended while it waits', () => {
    receive(1, PIECES_PER_READ);
    meterOf(1).close();
    expect([turns.dueInMs(), turns.next()]).toEqual([undefined, undefined]);
  });
});
