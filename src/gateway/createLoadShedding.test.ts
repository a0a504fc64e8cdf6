import { createLagMonitor, LAG_INTERVAL_MS } from './createLagMonitor';
import { createLoadShedding } from './createLoadShedding';

interface Outcome {
  /** Longest wait of an event in the second half of the slow phase, milliseconds. */
  readonly lastWaitMs: number;
  readonly changes: readonly boolean[];
}

/** Time that the events of one stream take of a processor in a millisecond at full speed. */
const STREAM_SHARE = 0.006;
const STREAM_MS = 3_000;
const SLOW_FROM_MS = 2_000;
const SLOW_UNTIL_MS = 8_000;

/**
 * Replays a VM whose processor gets slower by a factor for six seconds, on a virtual clock. Callers open a stream
 * every 150 ms unless the VM sheds load; work that the processor has no time for waits.
 */
function replaySlowVm(slowness: number, acceptingPeers: number): Outcome {
  let nowMs = 0;
  let backlogMs = 0;
  let nextTickMs = 0;
  let lastWaitMs = 0;
  const streamEndsMs: number[] = [];
  const changes: boolean[] = [];
  const lag = createLagMonitor(() => nowMs);
  const shedding = createLoadShedding({
    lag,
    countPeers: () => ({ all: 7, accepting: acceptingPeers }),
    now: () => nowMs,
    log: (_message, { isShedding }) => changes.push(isShedding === true),
    count: () => undefined,
  });
  for (; nowMs < 14_000; nowMs += 1) {
    const isSlow = nowMs >= SLOW_FROM_MS && nowMs < SLOW_UNTIL_MS;
    const speed = isSlow ? 1 / slowness : 1;
    if (nowMs % 150 === 0 && !shedding.isShedding()) streamEndsMs.push(nowMs + STREAM_MS);
    const running = streamEndsMs.filter((endMs) => endMs > nowMs).length;
    backlogMs = Math.max(0, backlogMs + running * STREAM_SHARE - speed);
    const waitMs = backlogMs / speed;
    if (nowMs >= (SLOW_FROM_MS + SLOW_UNTIL_MS) / 2 && isSlow)
      lastWaitMs = Math.max(lastWaitMs, waitMs);
    if (nowMs < nextTickMs + Math.min(waitMs, 1_000)) continue;
    lag.tick();
    shedding.check();
    nextTickMs = nowMs + LAG_INTERVAL_MS;
  }
  return { lastWaitMs, changes };
}

describe('createLoadShedding', () => {
  it('leaves callers to others while its processor is slow, and takes them again afterwards', () => {
    const alone = replaySlowVm(10, 0);
    const withPeers = replaySlowVm(10, 7);
    expect(alone.changes).toEqual([]);
    expect(alone.lastWaitMs).toBeGreaterThan(1_000);
    expect(withPeers.lastWaitMs).toBeLessThan(alone.lastWaitMs / 2);
    expect(withPeers.changes[0]).toBe(true);
    expect(withPeers.changes.at(-1)).toBe(false);
  });

  it('changes nothing for a processor that is slow but keeps up', () => {
    expect(replaySlowVm(6, 7).changes).toEqual([]);
  });

  it('goes on where fewer than half of the other VMs accept callers', () => {
    expect(replaySlowVm(10, 3).changes).toEqual([]);
    expect(replaySlowVm(10, 4).changes[0]).toBe(true);
  });
});
