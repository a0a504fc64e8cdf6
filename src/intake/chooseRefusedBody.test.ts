/** Guards against crowds whose bodies keep those of ordinary callers out. */

import { chooseRefusedBody, STALLED_AFTER_MS } from './chooseRefusedBody';
import type { OpenBody } from './openBody';

const NOW_MS = 10_000;

const createBody = (
  id: number,
  heldBytes: number,
  overrides: Partial<OpenBody> = {},
): OpenBody => ({
  id,
  source: 'a',
  heldBytes,
  lastPieceMs: NOW_MS,
  ...overrides,
});

const choose = (id: number, bytes: number, bodies: readonly OpenBody[]): number | undefined =>
  chooseRefusedBody({ id, bytes, bodies, nowMs: NOW_MS });

describe('chooseRefusedBody', () => {
  it('refuses the largest body, not the small one that needs memory', () => {
    expect(choose(1, 100, [createBody(1, 0), createBody(2, 4_000), createBody(3, 5_000)])).toBe(3);
  });

  it('refuses the body that needs memory if it would be the largest', () => {
    expect(choose(1, 2_000, [createBody(1, 4_000), createBody(2, 5_000)])).toBe(1);
  });

  it('refuses stalled bodies before larger ones that are still sent', () => {
    const stalled = createBody(2, 1_000, { lastPieceMs: NOW_MS - STALLED_AFTER_MS });
    expect(choose(1, 100, [createBody(1, 0), stalled, createBody(3, 5_000)])).toBe(2);
  });

  it('does not take the body that needs memory as stalled', () => {
    const own = createBody(1, 100, { lastPieceMs: 0 });
    expect(choose(1, 100, [own, createBody(2, 5_000)])).toBe(2);
  });

  it('refuses a body of the source that holds most, though another source has the largest', () => {
    const crowd = [2, 3, 4].map((id) => createBody(id, 3_000, { source: 'crowd' }));
    expect(choose(1, 1_000, [createBody(1, 4_000), ...crowd])).toBe(4);
  });

  it('has no choice without bodies', () => {
    expect(choose(1, 100, [])).toBeUndefined();
  });
});
