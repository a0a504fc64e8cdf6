import type { ContentTally } from './contentTally';
import type { ContentLimit } from './crashLimitOf';
import { findCulprits } from './findCulprits';

const limitOf = (): ContentLimit => ({
  maxCrashes: 3,
  validMs: 1_000,
  isWholeRequest: false,
  holdMs: 100,
});

const tally = (servers: string, disproved = ''): ContentTally => ({
  servers: servers.split(''),
  disproved: disproved.split(''),
  crashes: servers.length,
  lastCrashAtMs: 0,
});

const find = (
  tallies: Readonly<Record<string, ContentTally>>,
  atMs = 10,
): readonly (readonly string[])[] =>
  findCulprits(Object.entries(tallies), limitOf, atMs).map(({ contents }) => contents);

describe('findCulprits', () => {
  it('finds the content that ran on all servers that crashed', () => {
    expect(find({ bad: tally('abcde'), sound: tally('abd'), other: tally('ce') })).toEqual([
      ['bad'],
    ]);
  });

  it('finds none below the limit', () => {
    expect(find({ one: tally('ab'), other: tally('cd') })).toEqual([]);
  });

  it('keeps contents together that ran on the same servers', () => {
    expect(find({ first: tally('abcd'), bad: tally('abcd') })).toEqual([['first', 'bad']]);
  });

  it('keeps a content with one more crash together with the others', () => {
    expect(find({ first: tally('abcdx'), bad: tally('abcd') })).toEqual([['first', 'bad']]);
  });

  it('tells contents apart once one leads by two', () => {
    expect(find({ first: tally('abcd'), bad: tally('abcdef') })).toEqual([['bad']]);
  });

  it('leaves out crashes that were disproved', () => {
    expect(find({ first: tally('abcd', 'abcd'), bad: tally('abcd') })).toEqual([['bad']]);
  });

  it('finds two harmful contents with crashes of their own', () => {
    expect(find({ bad: tally('abcd'), worse: tally('efghi') })).toEqual([['worse'], ['bad']]);
  });

  it('does not count crashes for longer than they are valid', () => {
    expect(find({ bad: tally('abcd') }, 1_000)).toEqual([]);
  });

  it('applies the limit of each content', () => {
    const limits = (content: string): ContentLimit => ({
      ...limitOf(),
      maxCrashes: content === 'part' ? 4 : 3,
    });
    const tallies = Object.entries({ part: tally('abc'), request: tally('efg') });
    expect(findCulprits(tallies, limits, 0).map(({ contents }) => contents)).toEqual([['request']]);
  });

  it('refuses a whole request also if another content explains its crashes', () => {
    const limits = (content: string): ContentLimit => ({
      ...limitOf(),
      isWholeRequest: content === 'request',
    });
    const tallies = Object.entries({ request: tally('abc'), part: tally('abcde') });
    expect(findCulprits(tallies, limits, 0).map(({ contents }) => contents)).toEqual([
      ['part'],
      ['request'],
    ]);
  });

  it('refuses no whole request that another may explain, until one leads by two', () => {
    const limits = (): ContentLimit => ({ ...limitOf(), isWholeRequest: true });
    const findRefused = (bad: string): readonly (readonly string[])[] =>
      findCulprits(Object.entries({ bad: tally(bad), sound: tally('abc') }), limits, 0)
        .map(({ contents }) => contents)
        .filter((contents) => contents.length === 1);
    expect(findRefused('abc')).toEqual([]);
    expect(findRefused('abcd')).toEqual([]);
    expect(findRefused('abcde')).toEqual([['bad']]);
  });

  it('refuses a content for longer with each further crash', () => {
    const untilMs = (servers: string): number | undefined =>
      findCulprits(Object.entries({ bad: tally(servers) }), limitOf, 0)[0]?.untilMs;
    expect([untilMs('abc'), untilMs('abcd'), untilMs('abcdef')]).toEqual([100, 400, 1_000]);
  });

  it('refuses a whole request for longer only by crashes that no part explains', () => {
    const limits = (content: string): ContentLimit => ({
      ...limitOf(),
      isWholeRequest: content === 'request',
    });
    const findUntilMs = (servers: string): number | undefined =>
      findCulprits(
        Object.entries({ request: tally(servers), part: tally('abcdefg') }),
        limits,
        0,
      ).find(({ contents }) => contents.join() === 'request')?.untilMs;
    expect([findUntilMs('abcde'), findUntilMs('abcdx')]).toEqual([100, 400]);
  });
});
