import { refillAllowance } from './refillAllowance';

const empty = { requests: 0, perSecond: 2, atMs: 1_000 };

describe('refillAllowance', () => {
  it('grows with time, up to one request', () => {
    expect(refillAllowance(empty, 2, 1_250).requests).toBe(0.5);
    expect(refillAllowance(empty, 2, 9_000).requests).toBe(1);
  });

  it('counts the lower growth for the time before a change', () => {
    expect(refillAllowance(empty, 4, 1_250).requests).toBe(0.5);
    expect(refillAllowance(empty, 0, 9_000)).toEqual({ requests: 0, perSecond: 0, atMs: 9_000 });
  });

  it('pays back what was sent in advance', () => {
    expect(refillAllowance({ ...empty, requests: -0.5 }, 2, 1_250).requests).toBe(0);
  });
});
