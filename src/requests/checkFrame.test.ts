import fc from 'fast-check';
import { checkFrame } from './checkFrame';
import type { RunningRequest } from './runningRequest';
import type { TokenFrame } from './tokenFrame';

const running: RunningRequest = {
  request: {
    id: 'r1',
    workspace: 'shops',
    service: 'drafter',
    prompt: [1, 2],
    maxTokens: 8,
    priority: 'interactive',
    receivedAtMs: 0,
    deadlineAtMs: 1000,
    fingerprint: 'f',
  },
  model: 'm',
  layers: 10,
  phase: 'streaming',
  attempt: 2,
  route: [
    { engine: 'a', layers: { from: 0, to: 4 } },
    { engine: 'b', layers: { from: 4, to: 10 } },
  ],
  delivered: undefined,
  deliveredCount: 3,
  deliveredBefore: 1,
  openedAtMs: 0,
  progressAtMs: 0,
  meanTokenIntervalMs: 20,
  tokenIntervalDeviationMs: 1,
  expectedFirstTokenMs: 0,
  avoided: [],
  provenEngines: [],
  isQueryingStages: false,
  stallCandidates: [],
  isIsolated: false,
  waitingSinceMs: 0,
  mayHaveRun: true,
  hasRun: true,
};

const frame: TokenFrame = {
  request: 'r1',
  workspace: 'shops',
  attempt: 2,
  position: 3,
  token: 7,
  text: 'x',
  receipts: [
    { engine: 'a', layers: { from: 0, to: 4 }, attempt: 2, position: 3 },
    { engine: 'b', layers: { from: 4, to: 10 }, attempt: 2, position: 3 },
  ],
};

const [first, second] = frame.receipts as readonly [
  TokenFrame['receipts'][number],
  TokenFrame['receipts'][number],
];

describe('checkFrame', () => {
  it('accepts a token that every layer ran once, in order, at the next position', () => {
    expect(checkFrame(running, 2, frame)).toBeUndefined();
  });

  it.each([
    ['of another request', 'other-request', { request: 'r2' }],
    ['of another workspace', 'other-workspace', { workspace: 'schools' }],
    ['of an earlier attempt', 'other-attempt', { attempt: 1 }],
    ['of a later attempt', 'other-attempt', { attempt: 3 }],
    ['at a position already delivered', 'repeated-position', { position: 2 }],
    ['beyond the next position', 'skipped-position', { position: 4 }],
    ['with a fractional token', 'not-a-token', { token: 0.5 }],
    ['without receipts', 'stage-count', { receipts: [] }],
    ['that skipped a stage', 'stage-count', { receipts: [first] }],
    ['that ran a stage twice', 'stage-count', { receipts: [first, second, second] }],
    ['with swapped stages', 'other-stage', { receipts: [second, first] }],
    [
      'of an engine outside the route',
      'other-stage',
      { receipts: [{ ...first, engine: 'c' }, second] },
    ],
    [
      'with a skipped layer',
      'layers-not-tiled',
      { receipts: [first, { ...second, layers: { from: 5, to: 10 } }] },
    ],
    [
      'with a layer run twice',
      'layers-not-tiled',
      { receipts: [{ ...first, layers: { from: 0, to: 5 } }, second] },
    ],
    [
      'without the last layer',
      'layers-not-tiled',
      { receipts: [first, { ...second, layers: { from: 4, to: 9 } }] },
    ],
    [
      'with a receipt of an earlier attempt',
      'receipt-attempt',
      { receipts: [first, { ...second, attempt: 1 }] },
    ],
    [
      'with a receipt of another position',
      'receipt-position',
      { receipts: [{ ...first, position: 2 }, second] },
    ],
  ])('drops a frame %s', (_what, fault, change) => {
    expect(checkFrame(running, 2, { ...frame, ...change })).toBe(fault);
  });

  it('drops a frame from the stream of an earlier attempt', () => {
    expect(checkFrame(running, 1, frame)).toBe('other-attempt');
  });

  it('drops a frame while the last attempt is superseded', () => {
    expect(checkFrame({ ...running, phase: 'finding-kv' }, 2, frame)).toBe('not-streaming');
  });

  it('drops a frame beyond the token limit', () => {
    const full = { ...running, request: { ...running.request, maxTokens: 3 } };
    expect(checkFrame(full, 2, frame)).toBe('beyond-limit');
  });

  it('drops a frame whose stage confirms fewer layers than its route assigns', () => {
    const shorter = [first, { ...second, layers: { from: 4, to: 4 } }];
    expect(checkFrame(running, 2, { ...frame, receipts: shorter })).toBe('layers-not-tiled');
  });

  it('accepts only receipts that cover the layers exactly as the route does', () => {
    const range = fc.record({ from: fc.integer({ min: 0, max: 10 }), to: fc.integer({ max: 10 }) });
    const receipt = fc.record({
      engine: fc.constantFrom('a', 'b'),
      layers: fc.oneof(range, fc.constantFrom(first.layers, second.layers)),
      attempt: fc.constantFrom(1, 2),
      position: fc.constantFrom(2, 3),
    });
    fc.assert(
      fc.property(fc.array(receipt, { maxLength: 3 }), (receipts) => {
        const isExact = JSON.stringify(receipts) === JSON.stringify(frame.receipts);
        const isAccepted = checkFrame(running, 2, { ...frame, receipts }) === undefined;
        expect(isAccepted).toBe(isExact);
      }),
      { seed: 7, numRuns: 2000 },
    );
  });
});
