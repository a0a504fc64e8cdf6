import { hashPrefixes, PREFIX_BLOCK_TOKENS } from './hashPrefixes';

const first = Array.from({ length: PREFIX_BLOCK_TOKENS }, (_, index) => index);

describe('hashPrefixes', () => {
  it('gives the same hashes for a prompt that goes on longer', () => {
    const short = hashPrefixes(first);
    expect(short).toHaveLength(1);
    expect(hashPrefixes([...first, ...first, 1]).slice(0, 1)).toEqual(short);
  });

  it('covers all blocks before', () => {
    const [, second] = hashPrefixes([...first, ...first]);
    const [, other] = hashPrefixes([...first.toReversed(), ...first]);
    expect(second).not.toBe(other);
  });

  it('gives none for less than a block', () => {
    expect(hashPrefixes(first.slice(1))).toEqual([]);
  });
});
