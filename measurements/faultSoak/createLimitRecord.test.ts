import { createLimitRecord, LEARNING_MS } from './createLimitRecord';

/** Records a number of arrivals at once, so long after a limit of 1 a second has begun. */
const findFindings = (count: number, afterMs: number): readonly string[] => {
  const record = createLimitRecord();
  record.recordLimit('x', 1, 1_000);
  for (let index = 0; index < count; index += 1) record.recordReceived('x', 1_000 + afterMs);
  record.recordLimit('x', undefined, 20_000);
  return record.findings();
};

describe('createLimitRecord', () => {
  it('finds more in a window than one and a half times the limit and five', () => {
    expect(findFindings(11, LEARNING_MS)).toEqual([]);
    expect(findFindings(12, LEARNING_MS)).toEqual([
      'x received 12 in 4 s at a limit of 1 a second',
    ]);
  });

  it('allows any number while the VMs learn of it, and after it has ended', () => {
    expect(findFindings(50, LEARNING_MS - 1)).toEqual([]);
    expect(findFindings(50, 19_000)).toEqual([]);
  });
});
