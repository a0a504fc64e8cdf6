/** Guards against callers whose open connections keep others out. */

import { chooseClosedConnection } from './chooseClosedConnection';

const createConnection = (id: number, waitingSinceMs: number, isServing = false) => ({
  id,
  waitingSinceMs,
  isServing,
});

describe('chooseClosedConnection', () => {
  it('closes the connection that has gone longest without a complete request', () => {
    const connections = [createConnection(1, 30), createConnection(2, 10), createConnection(3, 20)];
    expect(chooseClosedConnection(connections)).toBe(2);
  });

  it('closes none whose request waits for its answer', () => {
    expect(chooseClosedConnection([createConnection(1, 10, true), createConnection(2, 30)])).toBe(
      2,
    );
    expect(chooseClosedConnection([createConnection(1, 10, true)])).toBeUndefined();
  });
});
