import { Writable } from 'node:stream';
import { createLineOutput } from './createLineOutput';

const createReader = (): { stream: Writable; taken: string[]; takeNext: () => void } => {
  const taken: string[] = [];
  let next: (() => void) | undefined;
  const stream = new Writable({
    write: (chunk: Buffer, _encoding, done) => {
      taken.push(chunk.toString());
      next = done;
    },
  });
  return { stream, taken, takeNext: () => next?.() };
};

describe('createLineOutput', () => {
  it('keeps lines for a slow reader up to the bound, and counts the others', () => {
    const { stream, taken, takeNext } = createReader();
    const output = createLineOutput(stream, { maxWaitingBytes: 4 });
    for (const line of ['a', 'b', 'c']) output.write(line);
    expect([taken, output.dropped()]).toEqual([['a\n'], 1]);
    takeNext();
    output.write('d');
    takeNext();
    takeNext();
    expect([taken, output.dropped()]).toEqual([['a\n', 'b\n', 'd\n'], 1]);
  });

  // A VM whose log nobody read any more ended by the error of its next line.
  it('drops lines once the reader has gone', async () => {
    const { stream } = createReader();
    const output = createLineOutput(stream);
    stream.destroy(new Error('EPIPE'));
    await new Promise((resolve) => setImmediate(resolve));
    output.write('a');
    expect(output.dropped()).toBe(2);
  });
});
