import { createStartCheck } from './createStartCheck';

function createCheck() {
  let nowMs = 0;
  const check = createStartCheck(() => nowMs);
  return {
    ...check,
    setTime: (ms: number) => {
      nowMs = ms;
    },
  };
}

describe('createStartCheck', () => {
  it('relies on nothing before a catalog was read', () => {
    expect(createCheck().isPassed()).toBe(false);
  });

  it('relies at once on a store that has lost nothing, whatever was reported', () => {
    const check = createCheck();
    check.recordReported(9);
    check.recordRead({ version: 7, era: 0 });
    expect(check.isPassed()).toBe(true);
  });

  it('waits for reports where the store came back from an older copy before', () => {
    const check = createCheck();
    check.recordRead({ version: 7, era: 1 });
    check.setTime(1_999);
    expect(check.isPassed()).toBe(false);
    check.setTime(2_000);
    expect(check.isPassed()).toBe(true);
  });

  it('waits until the store holds the newest version that another VM has in force', () => {
    const check = createCheck();
    check.recordRead({ version: 7, era: 1 });
    check.recordReported(9);
    check.recordReported(8);
    check.setTime(60_000);
    expect(check.isPassed()).toBe(false);
    check.recordRead({ version: 9, era: 1 });
    expect(check.isPassed()).toBe(true);
  });

  it('is over once it has passed, so that a later report does not stop a running VM', () => {
    const check = createCheck();
    check.recordRead({ version: 7, era: 1 });
    check.setTime(2_000);
    expect(check.isPassed()).toBe(true);
    check.recordReported(9);
    expect(check.isPassed()).toBe(true);
  });
});
