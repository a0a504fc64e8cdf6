import type { AcceleratorKind, Engine, LayerRange, Model } from '../engines/engine';
import { computeMaxThroughput } from './computeMaxThroughput';
import type { PipelineInput } from './pipelineInput';

const model: Model = {
  id: 'm',
  layers: 10,
  bytesPerLayer: 0,
  kvBytesPerTokenLayer: 1,
  activationBytes: 1000,
};

/** 100 microseconds per token and layer at the maximum batch of ten; prefill is free. */
const kind: AcceleratorKind = {
  id: 'k',
  memoryBytes: 1e12,
  decodeBaseMicros: 900,
  decodeMicrosPerSequence: 10,
  prefillMicrosPerToken: 0,
  maxBatch: 10,
};

function createEngine(id: string, layers: LayerRange, accelerators = 1, uplink = 1e12): Engine {
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

/** Engines with an id starting with `z` are in the failure domain `far`. */
function createInput(
  engines: readonly Engine[],
  overrides: Partial<PipelineInput> = {},
): PipelineInput {
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
    ...overrides,
  };
}

const whole = { from: 0, to: 10 };
const front = { from: 0, to: 4 };
const back = { from: 4, to: 10 };

describe('computeMaxThroughput', () => {
  it('equals the rate of a single engine that holds every layer', () => {
    expect(computeMaxThroughput(createInput([createEngine('a', whole)]))).toBeCloseTo(1000, 3);
  });

  it('adds the rates of engines that hold the same layers', () => {
    const engines = [createEngine('a', whole), createEngine('b', whole, 2)];
    expect(computeMaxThroughput(createInput(engines))).toBeCloseTo(3000, 3);
  });

  it('equals the rate of the slower of two stages', () => {
    const engines = [createEngine('a', front), createEngine('b', back)];
    expect(computeMaxThroughput(createInput(engines))).toBeCloseTo(1e6 / 600, 3);
  });

  it('splits overlapping layers between two engines', () => {
    const engines = [createEngine('a', { from: 0, to: 6 }), createEngine('b', back)];
    expect(computeMaxThroughput(createInput(engines))).toBeCloseTo(2000, 3);
  });

  it('is 0 if no engine holds some layer', () => {
    const engines = [createEngine('a', front), createEngine('b', { from: 5, to: 10 })];
    expect(computeMaxThroughput(createInput(engines))).toBe(0);
  });

  it('is limited by a link that prompts and answers share', () => {
    const links = [{ from: 'near', to: 'far', bytesPerSecond: 1e6, delayMs: 1 }];
    const engines = [createEngine('a', front), createEngine('z', back)];
    expect(computeMaxThroughput(createInput(engines, { links }))).toBeCloseTo(500, 3);
  });

  it('is limited by a network interface', () => {
    const engines = [createEngine('a', front, 1, 1e6), createEngine('b', back)];
    expect(computeMaxThroughput(createInput(engines))).toBeCloseTo(500, 3);
  });

  it('is limited by the KV memory for running sequences', () => {
    const small = { ...kind, memoryBytes: 5 * 150 * 10 };
    const input = createInput([createEngine('a', whole)], {
      acceleratorKinds: new Map([['k', small]]),
    });
    expect(computeMaxThroughput(input)).toBeCloseTo((5 * 1e6) / (10 * 950), 3);
  });

  it('includes the time for prompts', () => {
    const slow = { ...kind, prefillMicrosPerToken: 100 };
    const input = createInput([createEngine('a', whole)], {
      acceleratorKinds: new Map([['k', slow]]),
    });
    expect(computeMaxThroughput(input)).toBeCloseTo(500, 3);
  });

  it('scales the rate of an engine by its weight', () => {
    expect(
      computeMaxThroughput(createInput([createEngine('a', whole)], { weightOf: () => 0.5 })),
    ).toBeCloseTo(500);
  });
});
