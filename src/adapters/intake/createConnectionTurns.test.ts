import type { IncomingMessage } from 'node:http';
import { createConnectionTurns } from './createConnectionTurns';

/** Pieces in one read of a connection, more than the work of a turn, and the time that they take, milliseconds. */
const PIECES = 2_000;
const READ_MS = 20;

describe('createConnectionTurns', () => {
  let nowMs: number;
  let reads: number;

  beforeEach(() => {
    jest.useFakeTimers();
    nowMs = 0;
    reads = 0;
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  const openBodies = (count: number): void => {
    const turns = createConnectionTurns({ now: () => nowMs });
    for (let body = 0; body < count; body += 1) {
      const receive = (): void => {
        reads += 1;
        for (let piece = 0; piece < PIECES; piece += 1) {
          nowMs += READ_MS / PIECES;
          turn.spend(1);
        }
      };
      const socket = {
        pause: () => undefined,
        // The event loop reads before it runs what is planned for its end later.
        resume: () => setImmediate(receive),
      };
      const turn = turns.open({ socket } as unknown as IncomingMessage);
      receive();
    }
  };

  const pass = (ms: number): void => {
    for (let passed = 0; passed < ms; passed += 1) {
      nowMs += 1;
      jest.advanceTimersByTime(1);
    }
  };

  // A turn was planned while the one before was in progress, so it began without a rest.
  it('leaves as much time to other work as a turn has taken', () => {
    openBodies(5);
    reads = 0;
    pass(10 * READ_MS);
    expect(reads).toBeGreaterThan(8);
    expect(reads).toBeLessThanOrEqual(10);
  });

  // Each read takes two runs of the event loop: one to begin, one to receive.
  it('reads a single body on at once', () => {
    openBodies(1);
    reads = 0;
    pass(10);
    expect(reads).toBe(5);
  });
});
