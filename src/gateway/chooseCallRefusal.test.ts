import type { CallEnd } from './chooseCallRefusal';
import { chooseCallRefusal } from './chooseCallRefusal';

describe('chooseCallRefusal', () => {
  it.each<[readonly CallEnd[], 'not-run' | 'unknown-outcome']>([
    [[], 'not-run'],
    [['not-run'], 'not-run'],
    [['unreached', 'not-run', 'unreached'], 'not-run'],
    [['unknown'], 'unknown-outcome'],
    [['unknown', 'not-run'], 'unknown-outcome'],
    [['unknown', 'unreached'], 'unknown-outcome'],
    [['not-run', 'unknown', 'not-run'], 'unknown-outcome'],
    [['answered', 'not-run'], 'unknown-outcome'],
  ])('%j: %s', (ends, refusal) => {
    expect(chooseCallRefusal(ends)).toBe(refusal);
  });
});
