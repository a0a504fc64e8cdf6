import { hashPrefixes, PREFIX_BLOCK_TOKENS } from './hashPrefixes';

const first = Array.from({ length: PREFIX_BLOCK_TOKENS }, (_, index) => index);

describe('hashPrefixes', () => {
  it('returns the same hashes for the common prefix of a longer prompt', () => {
    const short = hashPrefixes(first);
    expect(short).toHaveLength(1);
    expect(hashPrefixes([...first, ...first, 1]).slice(0, 1)).toEqual(short);
  });

  it('covers all earlier blocks in the hash of a block', () => {
    const [, second] = hashPrefixes([...first, ...first]);
    const [, other] = hashPrefixes([...first.toReversed(), ...first]);
    expect(second).not.toBe(other);
  });

  it('returns no hash for a prompt shorter than one block', () => {
    expect(hashPrefixes(first.slice(1))).toEqual([]);
  });
});
