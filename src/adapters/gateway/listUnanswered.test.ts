import { listUnanswered } from './listUnanswered';

const never = new Promise(() => undefined);

describe('listUnanswered', () => {
  it('names the servers that are slower than the others', async () => {
    const queries = new Map([
      ['a', Promise.resolve('report')],
      ['b', never],
    ]);
    expect(await listUnanswered(queries, 1)).toEqual(new Set(['b']));
  });

  it('names none if no server answers', async () => {
    const queries = new Map([
      ['a', never],
      ['b', never],
    ]);
    expect(await listUnanswered(queries, 1)).toEqual(new Set());
  });

  it('names none if all servers answer', async () => {
    expect(await listUnanswered(new Map([['a', Promise.resolve('report')]]), 1)).toEqual(new Set());
  });
});
