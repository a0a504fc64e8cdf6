import type { RouteRule } from '../catalog/catalog';
import { findContention } from './findContention';

const createRule = (priority: number, overrides: Partial<RouteRule> = {}): RouteRule => ({
  name: 'r',
  host: 'desk.example',
  prefix: '/r/',
  form: 'stream',
  isIdempotent: true,
  isResumable: true,
  timeoutMs: 20_000,
  targetMs: 500,
  targetGapMs: 250,
  maxAttempts: 2,
  isPublic: false,
  priority,
  shares: [{ service: 'draft', weight: 1 }],
  ...overrides,
});

describe('findContention', () => {
  it('lists the priorities of the streams of a service, and the target of the most urgent', () => {
    const rules = [createRule(2, { targetMs: 1_000 }), createRule(0), createRule(1), createRule(2)];
    expect(findContention('draft', rules)).toEqual({ priorities: [0, 1, 2], urgentTargetMs: 500 });
  });

  it('finds none where all streams are equally urgent', () => {
    expect(findContention('draft', [createRule(1), createRule(1)])).toBeUndefined();
  });

  it('looks neither at calls nor at the routes of other services', () => {
    const call = createRule(2, { form: 'call' });
    const other = createRule(0, { shares: [{ service: 'desk', weight: 1 }] });
    expect(findContention('draft', [createRule(1), call, other])).toBeUndefined();
  });
});
