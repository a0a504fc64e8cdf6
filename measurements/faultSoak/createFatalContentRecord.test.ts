import { createFatalContentRecord } from './createFatalContentRecord';

const findFindings = (
  timesMs: readonly number[],
  { isFromSettledVm = true } = {},
): readonly string[] => {
  const record = createFatalContentRecord(3);
  timesMs.forEach((atMs, index) => {
    record.recordRequest(`r${index}`, 'x', isFromSettledVm);
    record.recordRun(`r${index}`, atMs);
  });
  return record.findings();
};

describe('createFatalContentRecord', () => {
  it('finds runs later than the settling time after the last end that is allowed', () => {
    expect(findFindings([0, 10, 20, 3_021, 3_022, 3_023, 3_024])).toEqual([
      'x ran 4 times more, 7 in all',
    ]);
  });

  it('allows three further runs, and any before the VMs have settled', () => {
    expect(findFindings([0, 10, 20, 500, 900, 3_020, 3_021, 3_022, 3_023])).toEqual([]);
  });

  it('does not count runs that a disturbed VM has sent', () => {
    const timesMs = [0, 10, 20, 4_000, 4_001, 4_002, 4_003];
    expect(findFindings(timesMs, { isFromSettledVm: false })).toEqual([]);
  });
});
