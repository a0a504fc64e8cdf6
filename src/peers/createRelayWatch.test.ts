import { createRelayWatch } from './createRelayWatch';

function watch() {
  let nowMs = 0;
  const relays = createRelayWatch(() => nowMs);
  return {
    relays,
    checkAt: (ms: number) => {
      nowMs = ms;
      relays.check(['relay']);
      return relays.isSilent('relay');
    },
  };
}

describe('createRelayWatch', () => {
  it('finds a relay silent that is not heard for three heartbeats', () => {
    const { checkAt } = watch();
    expect([0, 800, 1_300].map(checkAt)).toEqual([false, false, true]);
  });

  it('counts from the last heartbeat', () => {
    const { relays, checkAt } = watch();
    checkAt(0);
    checkAt(1_000);
    relays.noteHeard('relay');
    expect(checkAt(2_000)).toBe(false);
    expect(checkAt(2_300)).toBe(true);
  });

  it('takes it back at its next heartbeat, or after a while', () => {
    const { relays, checkAt } = watch();
    checkAt(0);
    checkAt(1_300);
    relays.noteHeard('relay');
    expect(relays.isSilent('relay')).toBe(false);
    checkAt(1_400);
    expect(checkAt(2_700)).toBe(true);
    expect(checkAt(12_800)).toBe(false);
  });
});
