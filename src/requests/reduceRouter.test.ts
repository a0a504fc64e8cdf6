import { createConfiguration } from '../configuration/createConfiguration';
import { createRouter } from './createRouter';
import { reduceRouter } from './reduceRouter';

describe('reduceRouter', () => {
  it('refuses requests as not-run without a configuration', () => {
    const request = {
      id: 'r1',
      workspace: 'shops',
      service: 'drafter',
      prompt: [1],
      maxTokens: 4,
      priority: 'interactive',
      receivedAtMs: 0,
      deadlineAtMs: 1000,
      fingerprint: 'f',
    } as const;
    const { state } = reduceRouter(createRouter(), {
      type: 'configuration-changed',
      configuration: createConfiguration(),
      atMs: 0,
      seed: 1,
    });
    const { effects } = reduceRouter(state, {
      type: 'request-received',
      request,
      atMs: 0,
      seed: 1,
    });
    expect(effects[0]).toMatchObject({
      type: 'refuse',
      request: 'r1',
      refusal: { outcome: 'not-run', reason: 'unknown-service' },
    });
  });
});
