import { fingerprint } from './fingerprint';

describe('fingerprint', () => {
  it('is the same for equal parts', () => {
    expect(fingerprint(['GET', '/a', undefined])).toBe(fingerprint(['GET', '/a', undefined]));
  });

  it('differs where text moves from one part to the next', () => {
    expect(fingerprint(['ab', 'c'])).not.toBe(fingerprint(['a', 'bc']));
  });

  it('is a SHA-256 digest', () => {
    expect(fingerprint(['a'])).toBe(
      '0eb5b8d6f81bc677da8a08567cc4fa9a06a57e9ec8da85ed73a7f62727996002',
    );
  });
});
