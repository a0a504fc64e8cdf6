import type { Engine } from '../engines/engine';
import { findRoute } from './findRoute';

function createEngine(id: string, from: number, to: number): Engine {
  return {
    id,
    acceleratorKind: 'a',
    accelerators: 8,
    uplinkBytesPerSecond: 1e9,
    model: 'm',
    modelVersion: '1',
    layers: { from, to },
    role: 'mixed',
  };
}

const engines = [
  createEngine('whole', 0, 10),
  createEngine('low', 0, 6),
  createEngine('high', 4, 10),
];
const whole = { from: 0, to: 10 };

describe('findRoute', () => {
  it('prefers a shorter chain while its engine is not busy', () => {
    expect(findRoute(engines, whole, () => 1)).toEqual([{ engine: 'whole', layers: whole }]);
  });

  it('uses a longer chain of idle engines instead of a busy one, running each layer once', () => {
    expect(findRoute(engines, whole, (id) => (id === 'whole' ? 9 : 1))).toEqual([
      { engine: 'low', layers: { from: 0, to: 6 } },
      { engine: 'high', layers: { from: 6, to: 10 } },
    ]);
  });

  it('covers a subrange of the layers', () => {
    expect(findRoute(engines, { from: 5, to: 9 }, (id) => (id === 'high' ? 0 : 5))).toEqual([
      { engine: 'high', layers: { from: 5, to: 9 } },
    ]);
  });

  it('finds no route if no engine holds some layer', () => {
    expect(findRoute(engines.slice(1, 2), whole, () => 1)).toBeUndefined();
    expect(findRoute(engines.slice(2), whole, () => 1)).toBeUndefined();
  });
});
