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
  crossingMs: 5,
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

  it('finds none where a layer is held by no engine', () => {
    expect(pathOf(search([engine('x', 0, 4), engine('y', 5, 8)]))).toBeUndefined();
  });

  it('finds none where an engine of the only path has no room for the request', () => {
    const full = engine('y', 4, 8, { reserved: 99_900 });
    expect(pathOf(search([engine('x', 0, 4), full]))).toBeUndefined();
  });

  it('leaves out a first engine whose places are taken', () => {
    const taken = engine('x', 0, 8, { entered: 10 });
    expect(pathOf(search([taken]))).toBeUndefined();
    expect(pathOf(search([taken, engine('y', 0, 8)]))).toBe('y 0-8');
  });

  it('spreads requests by how full the engines are', () => {
    const busy = engine('x', 0, 8, { reserved: 50_000 });
    expect(pathOf(search([busy, engine('y', 0, 8)]))).toBe('y 0-8');
  });

  it('crosses no saturated link, and still enters a whole chain elsewhere', () => {
    const split = [engine('a1', 0, 4), engine('b2', 4, 8, { failureDomain: 'b' })];
    const saturated = { crossingMs: Number.POSITIVE_INFINITY };
    expect(pathOf(search(split))).toBe('a1 0-4, b2 4-8');
    expect(pathOf(search(split, saturated))).toBeUndefined();
    const whole = engine('b1', 0, 8, { failureDomain: 'b' });
    expect(pathOf(search([...split, whole], saturated))).toBe('b1 0-8');
  });

  it('enters a whole chain elsewhere rather than crossing domains twice', () => {
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

  it('leaves out an engine behind which first events come too late', () => {
    const slow = engine('x', 0, 8, { startDelayMs: 900 });
    expect(pathOf(search([slow], { maxStartMs: 750 }))).toBeUndefined();
    expect(pathOf(search([slow, engine('y', 0, 8)], { maxStartMs: 750 }))).toBe('y 0-8');
    expect(pathOf(search([slow]))).toBe('x 0-8');
  });

  it('turns to slow engines before a fast one has no memory left', () => {
    const fast = (share: number): ChainEngine =>
      engine('x', 0, 8, { layerStepMs: 0.01, reserved: share * 100_000 });
    const slow = engine('y', 0, 8);
    expect(pathOf(search([fast(0.6), slow]))).toBe('x 0-8');
    expect(pathOf(search([fast(0.9), slow]))).toBe('y 0-8');
  });

  it('replaces a part in the middle without taking a place for entries', () => {
    const taken = engine('x', 0, 8, { entered: 10 });
    const middle = search([taken], { layers: { from: 2, to: 4 }, isEntry: false });
    expect(pathOf(middle)).toBe('x 2-4');
  });
});
