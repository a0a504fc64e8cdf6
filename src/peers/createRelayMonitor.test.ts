import { createRelayMonitor } from './createRelayMonitor';

function createMonitor() {
  let nowMs = 0;
  const monitor = createRelayMonitor(() => nowMs);
  return {
    monitor,
    checkAt: (ms: number) => {
      nowMs = ms;
      monitor.check(['relay']);
      return monitor.isSilent('relay');
    },
  };
}

describe('createRelayMonitor', () => {
  it('reports a relay as silent after three missed heartbeats', () => {
    const { checkAt } = createMonitor();
    expect([0, 800, 1_300].map(checkAt)).toEqual([false, false, true]);
  });

  it('measures the silence from the last heartbeat', () => {
    const { monitor, checkAt } = createMonitor();
    checkAt(0);
    checkAt(1_000);
    monitor.recordHeartbeat('relay');
    expect(checkAt(2_000)).toBe(false);
    expect(checkAt(2_300)).toBe(true);
  });

  it('no longer reports a relay as silent after its next heartbeat or after the retry time', () => {
    const { monitor, checkAt } = createMonitor();
    checkAt(0);
    checkAt(1_300);
    monitor.recordHeartbeat('relay');
    expect(monitor.isSilent('relay')).toBe(false);
    checkAt(1_400);
    expect(checkAt(2_700)).toBe(true);
    expect(checkAt(12_800)).toBe(false);
  });
});
