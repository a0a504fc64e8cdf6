/** Intents that set up a small site, for tests and measurements. */

import type { Engine } from '../../engines/engine';
import type { Intent } from '../intent';

/** Two failure domains, one accelerator kind and two models of 8 layers. */
export const SITE: Intent = {
  type: 'describe-site',
  changes: [
    { type: 'put', kind: 'failureDomain', key: 'nbo-a', value: { id: 'nbo-a', region: 'nbo' } },
    { type: 'put', kind: 'failureDomain', key: 'nbo-b', value: { id: 'nbo-b', region: 'nbo' } },
    {
      type: 'put',
      kind: 'acceleratorKind',
      key: 'small',
      value: {
        id: 'small',
        memoryBytes: 24e9,
        decodeBaseMicros: 200,
        decodeMicrosPerSequence: 10,
        prefillMicrosPerToken: 5,
        maxBatch: 16,
      },
    },
    ...['desk', 'seat'].map((id) => ({
      type: 'put' as const,
      kind: 'model' as const,
      key: id,
      value: {
        id,
        layers: 8,
        bytesPerLayer: 2e9,
        kvBytesPerTokenLayer: 4096,
        activationBytes: 8192,
      },
    })),
  ],
};

export const WORKSPACE: Intent = {
  type: 'put-workspace',
  workspace: {
    id: 'kiambu',
    share: 1,
    limits: { requestsPerSecond: 100, tokensPerSecond: 10_000, concurrentRequests: 100 },
    tokenHashes: [],
  },
};

/** Creates the intent to put a service on a model. */
export function createServiceIntent(id: string, model = 'desk', firstTokenTargetMs = 1300): Intent {
  return {
    type: 'put-service',
    service: {
      kind: 'model',
      id,
      workspace: 'kiambu',
      model,
      firstTokenTargetMs,
      tokenIntervalTargetMs: 26,
      maxTokens: 4096,
    },
  };
}

/** Creates an engine with one accelerator that holds all 8 layers of a model. */
export function createEngine(id: string, fields: Partial<Engine> = {}): Engine {
  return {
    id,
    acceleratorKind: 'small',
    accelerators: 1,
    uplinkBytesPerSecond: 1e9,
    model: 'desk',
    modelVersion: '1',
    layers: { from: 0, to: 8 },
    role: 'mixed',
    ...fields,
  };
}

/** Creates the intent to add an engine. */
export function createEngineIntent(engine: Engine, checksFencing = true): Intent {
  return {
    type: 'add-backend-server',
    server: {
      id: engine.id,
      kind: 'engine',
      failureDomain: 'nbo-a',
      address: { host: '127.0.0.1', port: 1 },
      checksFencing,
      leaving: false,
    },
    engine,
  };
}
