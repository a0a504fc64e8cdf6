import { explainShortage } from './explainShortage';
import type { ChainSearch } from './findChain';
import { createChainEngine } from './testEngine';

const search: ChainSearch = {
  engines: [createChainEngine('a', 0, 4), createChainEngine('b', 4, 8)],
  layers: { from: 0, to: 8 },
  tokens: 100,
  fromDomain: 'a',
  domainDelayMs: 0.5,
  crossDomainMs: 5,
  excluded: new Set(),
  isEntry: true,
  maxFirstEventDelayMs: 500,
};

describe('explainShortage', () => {
  it('names the limit without which there is a path', () => {
    const slow = createChainEngine('a', 0, 4, { firstEventDelayMs: 600 });
    const full = createChainEngine('b', 4, 8, { reserved: 100_000 });
    const far = createChainEngine('b', 4, 8, { failureDomain: 'b' });
    const [first, second] = search.engines;
    if (first === undefined || second === undefined) throw new Error('No engines');
    expect(explainShortage({ ...search, engines: [slow, second] })).toBe('first event delay');
    expect(explainShortage({ ...search, engines: [first, full] })).toBe('memory');
    expect(explainShortage({ ...search, engines: [first, far], crossDomainMs: Infinity })).toBe(
      'links',
    );
    expect(explainShortage({ ...search, engines: [first] })).toBe('layers');
    const crowded = createChainEngine('a', 0, 4, { reserved: first.capacity * 0.8 });
    expect(explainShortage({ ...search, engines: [crowded, second], maxShare: 0.7 })).toBe(
      'kept room',
    );
  });
});
