import { createListedServer as server } from '../chains/testEngine';
import { testModel } from '../chains/testModel';
import { createServerBoard } from './createServerBoard';
import type { ServerBoard } from './createServerBoard';
import { createStartTimes } from './createStartTimes';

let nowMs = 0;
let board: ServerBoard;

const usable = (): readonly string[] => board.usable('drafts').map(({ id }) => id);
const reserved = (id: string): number | undefined =>
  board.chainEngines('drafts', testModel).find((engine) => engine.id === id)?.reserved;

beforeEach(() => {
  nowMs = 0;
  const now = (): number => nowMs;
  board = createServerBoard({
    now,
    startTimes: createStartTimes(now),
    onBelief: () => undefined,
  });
  board.list([server('x'), server('y')]);
});

describe('createServerBoard', () => {
  it('gives a server that drains nothing new, and tells its streams once', () => {
    const left: string[] = [];
    board.onLeaving((id) => left.push(id));
    board.list([server('x', { isDraining: true }), server('y')]);
    board.list([server('x', { isDraining: true }), server('y')]);
    expect(usable()).toEqual(['y']);
    expect(board.chainEngines('drafts', testModel).map(({ id }) => id)).toEqual(['y']);
    expect(left).toEqual(['x']);
  });

  it('gives a lost server nothing until it answers or has started anew', () => {
    board.suspect('x', 'silent');
    expect(usable()).toEqual(['y']);
    board.list([server('x', { bornMs: 9 }), server('y')]);
    expect(usable()).toEqual(['x', 'y']);
    board.suspect('y', 'silent');
    board.clear('y');
    expect(usable()).toEqual(['x', 'y']);
  });

  it('adds the work of other VMs, and forgets it with its age', () => {
    const stages = [{ id: 'x', address: 'x:1', layers: { from: 0, to: 9 } }];
    board.reserve(stages, 100);
    const servers = new Map([['x', { reserved: 500, running: 2 }]]);
    board.learnWork('other', { servers, crossingPerMs: 0 });
    expect(reserved('x')).toBe(1_400);
    expect(board.running('x')).toBe(3);
    nowMs = 3_100;
    expect(reserved('x')).toBe(900);
  });

  it('takes an engine for as full as it reports itself, while the report is fresh', () => {
    board.noteReport('x', { pace: 1, memoryShare: 0.9 });
    const capacity = board.chainEngines('drafts', testModel)[0]?.capacity ?? 0;
    expect(reserved('x')).toBeCloseTo(0.9 * capacity);
    nowMs = 900;
    expect(reserved('x')).toBe(0);
  });

  it('sums the use of links between failure domains over all VMs', () => {
    board.list([server('x'), server('y', { failureDomain: 'b', layers: { from: 9, to: 18 } })]);
    const tokensPerMs = testModel.domainBytesPerMs / testModel.activationBytes;
    board.learnWork('other', { servers: new Map(), crossingPerMs: tokensPerMs / 2 });
    expect(board.crossingShare(testModel)).toBeCloseTo(0.5);
    const stages = ['x', 'y'].map((id) => ({ id, address: `${id}:1`, layers: { from: 0, to: 9 } }));
    board.reserve(stages, 1_000 * (tokensPerMs / 4));
    expect(board.crossingShare(testModel)).toBeCloseTo(0.75);
  });
});
