import { linkFactor } from './linkFactor';

describe('linkFactor', () => {
  const links = new Map([
    ['a/b', { from: 'a', to: 'b', bytesPerSecond: 1.25e7, delayMs: 1 }],
    ['b/a', { from: 'b', to: 'a', bytesPerSecond: 5e9, delayMs: 1 }],
  ]);

  it('is 1 inside a failure domain and on a fast link', () => {
    expect(linkFactor(links, 'a', 'a')).toBe(1);
    expect(linkFactor(links, 'b', 'a')).toBe(1);
  });

  it('grows as the link is slower, and is infinite without one', () => {
    expect(linkFactor(links, 'a', 'b')).toBe(100);
    expect(linkFactor(links, 'a', 'c')).toBe(Infinity);
  });
});
