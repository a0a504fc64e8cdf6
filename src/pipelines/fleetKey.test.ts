import type { Engine } from '../engines/engine';
import type { Fleet } from './fleet';
import { fleetKey } from './fleetKey';

const engine: Engine = {
  id: 'e1',
  acceleratorKind: 'a',
  accelerators: 8,
  uplinkBytesPerSecond: 1e9,
  model: 'draft',
  modelVersion: '1',
  layers: { from: 0, to: 4 },
  role: 'mixed',
};

const fleet: Fleet = {
  model: {
    id: 'draft',
    layers: 4,
    bytesPerLayer: 1,
    kvBytesPerTokenLayer: 1,
    activationBytes: 1,
  },
  engines: [engine],
  acceleratorKinds: new Map(),
  failureDomainOf: () => 'nbo-a',
  weightOf: () => 1,
  links: [{ from: 'nbo-a', to: 'nbo-b', bytesPerSecond: 1e9, delayMs: 1 }],
  workload: { promptTokens: 64, answerTokens: 32 },
};

describe('fleetKey', () => {
  it('is the same for equal fleets', () => {
    expect(fleetKey({ ...fleet, engines: [{ ...engine }] })).toBe(fleetKey(fleet));
  });

  it.each([
    ['an engine less', { engines: [] }],
    ['other layers', { engines: [{ ...engine, layers: { from: 0, to: 3 } }] }],
    ['another weight', { weightOf: () => 0.5 }],
    ['another failure domain', { failureDomainOf: () => 'nbo-b' }],
    ['a slower link', { links: [{ ...fleet.links[0], bytesPerSecond: 1e8 }] as Fleet['links'] }],
    ['a longer answer', { workload: { promptTokens: 64, answerTokens: 33 } }],
  ] satisfies [string, Partial<Fleet>][])('differs with %s', (_, change) => {
    expect(fleetKey({ ...fleet, ...change })).not.toBe(fleetKey(fleet));
  });
});
