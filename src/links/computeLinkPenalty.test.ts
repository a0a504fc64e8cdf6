import { computeLinkPenalty } from './computeLinkPenalty';

describe('computeLinkPenalty', () => {
  const links = new Map([
    ['a/b', { from: 'a', to: 'b', bytesPerSecond: 1.25e7, delayMs: 1 }],
    ['b/a', { from: 'b', to: 'a', bytesPerSecond: 5e9, delayMs: 1 }],
  ]);

  it('is 1 within a failure domain and on a fast link', () => {
    expect(computeLinkPenalty(links, 'a', 'a')).toBe(1);
    expect(computeLinkPenalty(links, 'b', 'a')).toBe(1);
  });

  it('increases on slower links and is infinite without a link', () => {
    expect(computeLinkPenalty(links, 'a', 'b')).toBe(100);
    expect(computeLinkPenalty(links, 'a', 'c')).toBe(Infinity);
  });
});
