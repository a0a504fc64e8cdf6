import type { Engine } from '../engines/engine';
import type { PipelineInput } from './pipelineInput';
import { createPipelineKey } from './createPipelineKey';

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

const input: PipelineInput = {
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

describe('createPipelineKey', () => {
  it('is the same for equal inputs', () => {
    expect(createPipelineKey({ ...input, engines: [{ ...engine }] })).toBe(
      createPipelineKey(input),
    );
  });

  it.each([
    ['one engine fewer', { engines: [] }],
    ['other layers', { engines: [{ ...engine, layers: { from: 0, to: 3 } }] }],
    ['another weight', { weightOf: () => 0.5 }],
    ['another failure domain', { failureDomainOf: () => 'nbo-b' }],
    [
      'a slower link',
      { links: [{ ...input.links[0], bytesPerSecond: 1e8 }] as PipelineInput['links'] },
    ],
    ['a longer answer', { workload: { promptTokens: 64, answerTokens: 33 } }],
  ] satisfies [string, Partial<PipelineInput>][])('differs with %s', (_, change) => {
    expect(createPipelineKey({ ...input, ...change })).not.toBe(createPipelineKey(input));
  });
});
