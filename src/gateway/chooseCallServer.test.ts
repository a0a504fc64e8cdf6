import type { CallCandidate } from './chooseCallServer';
import { chooseCallServer } from './chooseCallServer';

const candidate = (id: string, more: Partial<CallCandidate> = {}): CallCandidate => ({
  id,
  failureDomain: 'a',
  slots: 6,
  running: 0,
  failureShare: 0,
  meanMs: 20,
  ...more,
});

const choose = (candidates: readonly CallCandidate[]): string | undefined =>
  chooseCallServer(candidates, 'a', 120, 0)?.id;

describe('chooseCallServer', () => {
  it('prefers the own failure domain among equal servers', () => {
    expect(choose([candidate('x', { failureDomain: 'b' }), candidate('y')])).toBe('y');
  });

  it('prefers a remote server to a local one that fails part of its calls', () => {
    const failing = candidate('x', { failureShare: 0.3 });
    expect(choose([failing, candidate('y', { failureDomain: 'b' })])).toBe('y');
  });

  it('prefers a remote server to a slow local one', () => {
    const slow = candidate('x', { meanMs: 160 });
    expect(choose([slow, candidate('y', { failureDomain: 'b' })])).toBe('y');
  });

  it('chooses no server if all slots are taken', () => {
    expect(choose([candidate('x', { running: 6 })])).toBeUndefined();
  });
});
