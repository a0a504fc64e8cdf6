/** Guards against bodies that hold memory after their end, and against memory that belongs to whoever came first. */

import { PassThrough } from 'node:stream';
import type { IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { createBodyIntake } from './createBodyIntake';
import type { BodyOptions } from './createBodyIntake';

const KB = 1024;

/** Room for a few bodies with the overhead of each. */
const BODY_BYTES = 400 * KB;

const OPTIONS: BodyOptions = {
  maxBytes: 200 * KB,
  source: 'shop',
  expiresInMs: 5_000,
  maxPauseMs: 5_000,
};

/** The body of a request as a stream, with the parts of a request that are looked at. */
function createRequest(headers: IncomingMessage['headers']) {
  const stream = new PassThrough();
  const calls: string[] = [];
  const socket = { pause: () => calls.push('pause'), resume: () => calls.push('resume') };
  const request = Object.assign(stream, { headers, socket }) as unknown as IncomingMessage;
  return { stream, request, calls };
}

const chunked = () => createRequest({ 'transfer-encoding': 'chunked' });

const createIntake = () =>
  createBodyIntake({ bodyBytes: BODY_BYTES, costlyBodies: 8, now: () => performance.now() });

describe('createBodyIntake', () => {
  it('joins the pieces of a body, and gives its memory back when it is released', async () => {
    const intake = createIntake();
    const { stream, request } = chunked();
    const received = intake.receive(request, OPTIONS);
    for (const piece of ['a', 'b'.repeat(70 * KB), 'c']) stream.write(piece);
    stream.end();
    const result = await received;
    expect(result.type === 'whole' && result.body?.toString()).toBe(`a${'b'.repeat(70 * KB)}c`);
    expect([intake.heldBytes(), intake.incomplete()]).toEqual([70 * KB + 2, 0]);
    intake.release(request);
    intake.release(request);
    expect(intake.heldBytes()).toBe(0);
  });

  it('takes a request without a body as one', async () => {
    const { request } = createRequest({});
    expect(await createIntake().receive(request, OPTIONS)).toEqual({
      type: 'whole',
      body: undefined,
    });
  });

  it('refuses an announced length over the limit before anything is read', async () => {
    const { request } = createRequest({ 'content-length': String(OPTIONS.maxBytes + 1) });
    expect(await createIntake().receive(request, OPTIONS)).toEqual({
      type: 'refused',
      bound: 'too-large',
    });
  });

  it('refuses the body that holds most where memory runs out, and reads it no further', async () => {
    const intake = createIntake();
    const large = chunked();
    const first = intake.receive(large.request, OPTIONS);
    large.stream.write('x'.repeat(190 * KB));
    await sleep(10);
    const smaller = chunked();
    const second = intake.receive(smaller.request, OPTIONS);
    smaller.stream.write('y'.repeat(100 * KB));
    smaller.stream.end();
    expect(await first).toEqual({ type: 'refused', bound: 'no-memory' });
    expect((await second).type).toBe('whole');
    expect(large.calls.at(-1)).toBe('pause');
    expect(intake.heldBytes()).toBe(100 * KB);
  });

  it('refuses a body that is not complete in time, or of which nothing comes', async () => {
    const late = createIntake().receive(chunked().request, { ...OPTIONS, expiresInMs: 20 });
    const silent = createIntake().receive(chunked().request, { ...OPTIONS, maxPauseMs: 20 });
    expect(await Promise.all([late, silent])).toEqual(
      Array(2).fill({ type: 'refused', bound: 'too-slow' }),
    );
  });

  it('gives the memory of a caller back that leaves', async () => {
    const intake = createIntake();
    const { stream, request } = chunked();
    const received = intake.receive(request, OPTIONS);
    stream.write('x'.repeat(50 * KB));
    await sleep(10);
    stream.destroy();
    expect([await received, intake.heldBytes()]).toEqual([{ type: 'cut' }, 0]);
  });
});
