import type { AcceleratorKind, Engine, LayerRange, Model } from '../engines/engine';
import { boundThroughput } from './boundThroughput';
import type { Fleet } from './fleet';

const model: Model = {
  id: 'm',
  layers: 10,
  bytesPerLayer: 0,
  kvBytesPerTokenLayer: 1,
  activationBytes: 1000,
};

/** 100 microseconds a token and layer at its largest batch of ten, and nothing for prompts. */
const kind: AcceleratorKind = {
  id: 'k',
  memoryBytes: 1e12,
  decodeBaseMicros: 900,
  decodeMicrosPerSequence: 10,
  prefillMicrosPerToken: 0,
  maxBatch: 10,
};

function engine(id: string, layers: LayerRange, accelerators = 1, uplink = 1e12): Engine {
  return {
    id,
    acceleratorKind: 'k',
    accelerators,
    uplinkBytesPerSecond: uplink,
    model: 'm',
    modelVersion: '1',
    layers,
    role: 'mixed',
  };
}

/** Engines whose id starts with `z` are in the failure domain `far`. */
function fleetOf(engines: readonly Engine[], change: Partial<Fleet> = {}): Fleet {
  return {
    model,
    engines,
    acceleratorKinds: new Map([['k', kind]]),
    failureDomainOf: (id) => (id.startsWith('z') ? 'far' : 'near'),
    weightOf: () => 1,
    links: [
      { from: 'near', to: 'far', bytesPerSecond: 1e12, delayMs: 1 },
      { from: 'far', to: 'near', bytesPerSecond: 1e12, delayMs: 1 },
    ],
    workload: { promptTokens: 100, answerTokens: 100 },
    ...change,
  };
}

const whole = { from: 0, to: 10 };
const front = { from: 0, to: 4 };
const back = { from: 4, to: 10 };

describe('boundThroughput', () => {
  it('is the rate of one engine that holds every layer', () => {
    expect(boundThroughput(fleetOf([engine('a', whole)]))).toBeCloseTo(1000, 3);
  });

  it('adds up engines that hold the same layers', () => {
    const engines = [engine('a', whole), engine('b', whole, 2)];
    expect(boundThroughput(fleetOf(engines))).toBeCloseTo(3000, 3);
  });

  it('is that of the slower of two stages', () => {
    const engines = [engine('a', front), engine('b', back)];
    expect(boundThroughput(fleetOf(engines))).toBeCloseTo(1e6 / 600, 3);
  });

  it('lets an engine run a part of its layers where another helps it out', () => {
    const engines = [engine('a', { from: 0, to: 6 }), engine('b', back)];
    expect(boundThroughput(fleetOf(engines))).toBeCloseTo(2000, 3);
  });

  it('is 0 where a layer is held by no engine', () => {
    const engines = [engine('a', front), engine('b', { from: 5, to: 10 })];
    expect(boundThroughput(fleetOf(engines))).toBe(0);
  });

  it('is held down by a link that prompts and answers share', () => {
    const links = [{ from: 'near', to: 'far', bytesPerSecond: 1e6, delayMs: 1 }];
    const engines = [engine('a', front), engine('z', back)];
    expect(boundThroughput(fleetOf(engines, { links }))).toBeCloseTo(500, 3);
  });

  it('is held down by a network interface', () => {
    const engines = [engine('a', front, 1, 1e6), engine('b', back)];
    expect(boundThroughput(fleetOf(engines))).toBeCloseTo(500, 3);
  });

  it('is held down by the memory for running sequences', () => {
    const small = { ...kind, memoryBytes: 5 * 150 * 10 };
    const fleet = fleetOf([engine('a', whole)], { acceleratorKinds: new Map([['k', small]]) });
    expect(boundThroughput(fleet)).toBeCloseTo((5 * 1e6) / (10 * 950), 3);
  });

  it('counts the prompt in', () => {
    const slow = { ...kind, prefillMicrosPerToken: 100 };
    const fleet = fleetOf([engine('a', whole)], { acceleratorKinds: new Map([['k', slow]]) });
    expect(boundThroughput(fleet)).toBeCloseTo(500, 3);
  });

  it('counts an engine by its weight', () => {
    expect(boundThroughput(fleetOf([engine('a', whole)], { weightOf: () => 0.5 }))).toBeCloseTo(
      500,
    );
  });
});
