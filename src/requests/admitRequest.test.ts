import { driveRouter, frameEvent, testConfiguration, testRequest, type Driver } from './testFleet';
import type { Request } from './request';
import type { Refusal } from '../outcomes/outcome';

function send(driver: Driver, overrides: Partial<Request>, atMs = 0): Refusal | 'opened' {
  const request = testRequest({ fingerprint: overrides.id ?? 'f', ...overrides });
  const effects = driver.send({ type: 'request-received', request, atMs, seed: 7 });
  const refused = effects.find((effect) => effect.type === 'refuse');
  return refused?.refusal ?? 'opened';
}

function configureLimits(
  limits: Partial<{ concurrentRequests: number; requestsPerSecond: number }>,
) {
  const configuration = testConfiguration();
  const workspace = configuration.workspace.get('shops');
  if (workspace === undefined) throw new Error('No workspace');
  const limitedWorkspace = { ...workspace, limits: { ...workspace.limits, ...limits } };
  return {
    ...configuration,
    workspace: new Map(configuration.workspace).set('shops', limitedWorkspace),
  };
}

describe('admitRequest', () => {
  it('refuses requests above the concurrency limit as not-run with a retry delay', () => {
    const driver = driveRouter(configureLimits({ concurrentRequests: 2 }));
    expect(send(driver, { id: 'a' })).toBe('opened');
    expect(send(driver, { id: 'b' })).toBe('opened');
    const refusal = send(driver, { id: 'c' });
    expect(refusal).toMatchObject({ outcome: 'not-run', reason: 'concurrent-requests' });
    expect(refusal).toHaveProperty('retryAfterMs', 507);
  });

  it('admits another request after one ends', () => {
    const driver = driveRouter(configureLimits({ concurrentRequests: 1 }));
    send(driver, { id: 'a', maxTokens: 1 });
    driver.send(frameEvent(driver.lastOrder(), 0, 20));
    expect(send(driver, { id: 'b' }, 30)).toBe('opened');
  });

  it('enforces the rate limit and refills its credit', () => {
    const driver = driveRouter(configureLimits({ requestsPerSecond: 2 }));
    expect(send(driver, { id: 'a' })).toBe('opened');
    expect(send(driver, { id: 'b' })).toBe('opened');
    expect(send(driver, { id: 'c' })).toMatchObject({ reason: 'requests-per-second' });
    expect(send(driver, { id: 'd' }, 600)).toBe('opened');
  });

  it('uses only its own part of a limit that other VMs use as well', () => {
    const driver = driveRouter(configureLimits({ concurrentRequests: 8 }));
    const other = { requestsPerSecond: 0, tokensPerSecond: 0, running: 6, ageMs: 300 };
    const usage = [{ workspace: 'shops', ...other }];
    driver.send({ type: 'use-learned', usage, acceptingVms: 4, atMs: 0, seed: 1 });
    expect(send(driver, { id: 'a' })).toBe('opened');
    expect(send(driver, { id: 'b' })).toBe('opened');
    expect(send(driver, { id: 'c' })).toMatchObject({ reason: 'concurrent-requests' });
  });

  it('refuses requests whose first token cannot meet the deadline', () => {
    const driver = driveRouter();
    send(driver, { id: 'a' });
    driver.send(frameEvent(driver.lastOrder(), 0, 400));
    driver.send({ type: 'timer-fired', timer: 'admission', atMs: 450, seed: 1 });
    expect(send(driver, { id: 'b', deadlineAtMs: 800 }, 450)).toMatchObject({ reason: 'deadline' });
    expect(send(driver, { id: 'c', deadlineAtMs: 900 }, 450)).toBe('opened');
  });

  it('admits a small workspace while a large one fills the VM', () => {
    const driver = driveRouter(testConfiguration(), { initialLimit: 20 });
    let opened = 0;
    for (let index = 0; index < 40; index += 1) {
      if (send(driver, { id: `large${index}` }) === 'opened') opened += 1;
    }
    expect(opened).toBeLessThanOrEqual(22);
    expect(send(driver, { id: 'small', workspace: 'schools' })).toBe('opened');
    expect(send(driver, { id: 'large' })).toMatchObject({ reason: 'overloaded' });
  });

  it('admits batch requests only up to a lower fraction of the limit', () => {
    const driver = driveRouter(testConfiguration(), { initialLimit: 20 });
    for (let index = 0; index < 16; index += 1) send(driver, { id: `r${index}` });
    expect(send(driver, { id: 'b', priority: 'batch' })).toMatchObject({ reason: 'overloaded' });
    expect(send(driver, { id: 'i', priority: 'interactive' })).toBe('opened');
  });
});
