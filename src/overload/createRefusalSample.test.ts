import { createRefusalSample } from './createRefusalSample';

describe('createRefusalSample', () => {
  it('logs some refusals of each second and counts the others', () => {
    let nowMs = 0;
    const sample = createRefusalSample(() => nowMs);
    const first = Array.from({ length: 25 }, () => sample.take());
    expect(first).toEqual([...Array<number>(10).fill(0), ...Array<undefined>(15).fill(undefined)]);
    nowMs = 1_000;
    expect([sample.take(), sample.take()]).toEqual([15, 0]);
  });
});
