import type { ChainEngine, Stage } from './layerEngine';
import { replaceStages } from './replaceStages';
import { createChainEngine as engine } from './testEngine';

const stage = (id: string, from: number, to: number): Stage => ({
  id,
  address: `${id}:1`,
  layers: { from, to },
});

const stages = [stage('x', 0, 3), stage('y', 3, 6), stage('z', 6, 8)];

const replace = (lost: readonly string[], engines: readonly ChainEngine[]): string | undefined =>
  replaceStages({
    stages,
    lost: new Set(lost),
    engines,
    domains: new Map([
      ['x', 'a'],
      ['y', 'a'],
      ['z', 'a'],
    ]),
    tokens: 100,
    fromDomain: 'a',
    domainDelayMs: 0.5,
    crossDomainMs: 5,
    excluded: new Set(),
  })
    ?.map(({ id, layers }) => `${id} ${layers.from}-${layers.to}`)
    .join(', ');

describe('replaceStages', () => {
  it('replaces only the lost engine', () => {
    expect(replace(['y'], [engine('s', 0, 8)])).toBe('x 0-3, s 3-6, z 6-8');
  });

  it('joins several engines if none holds the whole part', () => {
    const spares = [engine('s', 3, 5), engine('t', 5, 8)];
    expect(replace(['y'], spares)).toBe('x 0-3, s 3-5, t 5-6, z 6-8');
  });

  it('replaces adjacent lost engines by one path', () => {
    expect(replace(['y', 'z'], [engine('s', 3, 8)])).toBe('x 0-3, s 3-8');
  });

  it('never uses an engine twice', () => {
    expect(replace(['y'], [engine('x', 0, 8), engine('z', 0, 8)])).toBeUndefined();
  });

  it('cannot replace a lost first engine, which serves the caller', () => {
    expect(replace(['x'], [engine('s', 0, 8)])).toBeUndefined();
  });
});
