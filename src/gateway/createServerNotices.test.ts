import { createListedServer } from '../chains/testEngine';
import { createServerNotices } from './createServerNotices';

function createRecord() {
  let nowMs = 1_000;
  const lines: string[] = [];
  const notices = createServerNotices({
    now: () => nowMs,
    log: (message) => lines.push(message),
    count: () => undefined,
  });
  return {
    notices,
    lines,
    setTime: (ms: number) => {
      nowMs = ms;
    },
  };
}

describe('createServerNotices', () => {
  it('marks an incarnation that announced its departure, whatever the list says', () => {
    const { notices, lines } = createRecord();
    const server = createListedServer('x', { bornMs: 5 });
    expect(notices.applyTo(server).isDraining).toBe(false);
    expect(notices.recordLeaving(server)).toBe(true);
    expect(notices.recordLeaving(server)).toBe(false);
    expect(notices.applyTo(server).isDraining).toBe(true);
    expect(notices.applyTo(createListedServer('x', { bornMs: 6 })).isDraining).toBe(false);
    expect(lines).toEqual(['server announces its departure']);
  });

  it('keeps the later end of two quiet times', () => {
    const { notices, setTime } = createRecord();
    notices.recordQuiet('x', 800);
    notices.recordQuiet('x', 300);
    expect(notices.quietMs('x')).toBe(800);
    setTime(1_700);
    expect(notices.quietMs('x')).toBe(100);
    setTime(1_801);
    expect(notices.quietMs('x')).toBe(0);
    expect(notices.quietMs('y')).toBe(0);
  });
});
