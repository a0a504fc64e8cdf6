import { electExecutor } from './electExecutor';

const vm = (name: string, incarnation = '1') => ({ vm: name, incarnation });
const row = (name: string, incarnation = '1') => ({
  ...vm(name, incarnation),
  position: { era: 0, version: 7 },
});

describe('electExecutor', () => {
  it('lets the first live VM take a row that no VM holds', () => {
    const live = [vm('b'), vm('a')];
    expect(electExecutor({ row: undefined, self: vm('a'), live })).toBe('take');
    expect(electExecutor({ row: undefined, self: vm('b'), live })).toBe('stand-by');
  });

  it('keeps the holder while it is live', () => {
    const live = [vm('a'), vm('b')];
    expect(electExecutor({ row: row('b'), self: vm('a'), live })).toBe('stand-by');
    expect(electExecutor({ row: row('b'), self: vm('b'), live })).toBe('hold');
  });

  it('elects another VM once the holder is gone or has started again', () => {
    expect(electExecutor({ row: row('b'), self: vm('a'), live: [vm('a')] })).toBe('take');
    const live = [vm('a'), vm('b', '2')];
    expect(electExecutor({ row: row('b'), self: vm('a'), live })).toBe('take');
  });

  it('does not take the row while this VM accepts no callers', () => {
    expect(electExecutor({ row: undefined, self: vm('a'), live: [vm('b')] })).toBe('stand-by');
  });
});
