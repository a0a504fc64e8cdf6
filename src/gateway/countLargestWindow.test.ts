import { countLargestWindow } from './countLargestWindow';

describe('countLargestWindow', () => {
  it('counts the events of the fullest window', () => {
    expect(countLargestWindow([0, 900, 1_000, 1_100, 1_999, 5_000], 1_000)).toBe(3);
  });

  it('leaves out an event that is a whole window old', () => {
    expect(countLargestWindow([0, 1_000], 1_000)).toBe(1);
  });

  it('is 0 without events', () => {
    expect(countLargestWindow([], 1_000)).toBe(0);
  });
});
