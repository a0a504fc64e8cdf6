import type { ChainSearch } from './findChain';
import { findChain } from './findChain';
import type { ChainEngine } from './layerEngine';
import { createChainEngine as engine } from './testEngine';

const search = (engines: readonly ChainEngine[], more: Partial<ChainSearch> = {}): ChainSearch => ({
  engines,
  layers: { from: 0, to: 8 },
  tokens: 100,
  fromDomain: 'a',
  domainDelayMs: 0.5,
  crossDomainMs: 5,
  excluded: new Set(),
  isEntry: true,
  ...more,
});

const pathOf = (wanted: ChainSearch): string | undefined =>
  findChain(wanted)
    ?.map(({ id, layers }) => `${id} ${layers.from}-${layers.to}`)
    .join(', ');

describe('findChain', () => {
  it('covers every layer once and in order', () => {
    expect(pathOf(search([engine('y', 4, 8), engine('x', 0, 4)]))).toBe('x 0-4, y 4-8');
  });

  it('uses a part of a range where ranges overlap', () => {
    expect(pathOf(search([engine('x', 0, 5), engine('y', 3, 8)]))).toMatch(/^x 0-(3|5), y \1-8$/);
  });

  it('finds no path if a layer is held by no engine', () => {
    expect(pathOf(search([engine('x', 0, 4), engine('y', 5, 8)]))).toBeUndefined();
  });

  it('finds no path if an engine of the only path has no capacity for the request', () => {
    const full = engine('y', 4, 8, { reserved: 99_900 });
    expect(pathOf(search([engine('x', 0, 4), full]))).toBeUndefined();
  });

  it('does not start at an engine whose slots are taken', () => {
    const full = engine('x', 0, 8, { entered: 10 });
    expect(pathOf(search([full]))).toBeUndefined();
    expect(pathOf(search([full, engine('y', 0, 8)]))).toBe('y 0-8');
  });

  it('spreads requests by engine load', () => {
    const busy = engine('x', 0, 8, { reserved: 50_000 });
    expect(pathOf(search([busy, engine('y', 0, 8)]))).toBe('y 0-8');
  });

  it('uses no saturated link but may start a complete chain in another domain', () => {
    const split = [engine('a1', 0, 4), engine('b2', 4, 8, { failureDomain: 'b' })];
    const saturated = { crossDomainMs: Number.POSITIVE_INFINITY };
    expect(pathOf(search(split))).toBe('a1 0-4, b2 4-8');
    expect(pathOf(search(split, saturated))).toBeUndefined();
    const whole = engine('b1', 0, 8, { failureDomain: 'b' });
    expect(pathOf(search([...split, whole], saturated))).toBe('b1 0-8');
  });

  it('prefers a complete chain in another domain to crossing domains twice', () => {
    const engines = [
      engine('a1', 0, 2),
      engine('a2', 4, 8),
      engine('b1', 0, 4, { failureDomain: 'b' }),
      engine('b2', 4, 8, { failureDomain: 'b' }),
      engine('b3', 2, 4, { failureDomain: 'b' }),
    ];
    expect(pathOf(search(engines))).toBe('b1 0-4, b2 4-8');
  });

  it('avoids an engine that is many times slower', () => {
    const slow = engine('x', 0, 8, { layerStepMs: 1.2 });
    expect(pathOf(search([slow, engine('y', 0, 8, { reserved: 60_000 })]))).toBe('y 0-8');
  });

  it('excludes an engine whose first events would be too late', () => {
    const slow = engine('x', 0, 8, { firstEventDelayMs: 900 });
    expect(pathOf(search([slow], { maxFirstEventDelayMs: 750 }))).toBeUndefined();
    expect(pathOf(search([slow, engine('y', 0, 8)], { maxFirstEventDelayMs: 750 }))).toBe('y 0-8');
    expect(pathOf(search([slow]))).toBe('x 0-8');
  });

  it('starts at no engine that takes no request now, and still passes through it', () => {
    const limited = { acceptsRequests: false };
    expect(pathOf(search([engine('x', 0, 8, limited)]))).toBeUndefined();
    const path = search([engine('x', 0, 8, limited), engine('y', 0, 2)]);
    expect(pathOf(path)).toBe('y 0-2, x 2-8');
  });

  it('chooses a slow engine before a fast one runs out of memory', () => {
    const fast = (share: number): ChainEngine =>
      engine('x', 0, 8, { layerStepMs: 0.01, reserved: share * 100_000 });
    const slow = engine('y', 0, 8);
    expect(pathOf(search([fast(0.6), slow]))).toBe('x 0-8');
    expect(pathOf(search([fast(0.9), slow]))).toBe('y 0-8');
  });

  it('replaces a part in the middle without taking a slot for entries', () => {
    const taken = engine('x', 0, 8, { entered: 10 });
    const middle = search([taken], { layers: { from: 2, to: 4 }, isEntry: false });
    expect(pathOf(middle)).toBe('x 2-4');
  });
});
