import { createServer, request } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import type { TokenFrame } from '../requests/tokenFrame';
import type { CallerFault, CallerStream } from './callerStream';
import { createCallerStream } from './createCallerStream';

const BUFFER_BYTES = 64 * 1024;
const TEXT = 'x'.repeat(8 * 1024);
/** 32 MiB in total, far more than the operating system's socket buffers hold. */
const MAX_FRAMES = 4096;

const frameAt = (position: number, change: Partial<TokenFrame> = {}): TokenFrame => ({
  request: 'r1',
  workspace: 'kiambu',
  attempt: 1,
  position,
  token: 120,
  text: TEXT,
  receipts: [],
  ...change,
});

describe('createCallerStream', () => {
  let server: Server;
  let response: ServerResponse;
  let stream: CallerStream;
  let faults: CallerFault[];
  let reply: Promise<IncomingMessage>;

  const openStream = async (isStream: boolean): Promise<void> => {
    faults = [];
    const accepted = new Promise<ServerResponse>((resolve) => {
      server = createServer((_request, created) => {
        resolve(created);
      }).listen(0, '127.0.0.1');
    });
    await new Promise((resolve) => server.once('listening', resolve));
    const { port } = server.address() as AddressInfo;
    reply = new Promise((resolve, reject) => {
      request({ host: '127.0.0.1', port }, resolve).on('error', reject).end();
    });
    response = await accepted;
    stream = createCallerStream({
      response,
      workspace: 'kiambu',
      head: { style: 'completion', request: 'r1', service: 'drafts', created: 0 },
      ask: {
        service: 'drafts',
        prompt: [1],
        maxTokens: 1_000_000,
        isStream,
        includesUsage: false,
        priority: 'interactive',
      },
      bufferBytes: BUFFER_BYTES,
      idleMs: 60_000,
      onFault: (fault) => faults.push(fault),
    });
  };

  const readAll = async (): Promise<string> => {
    let body = '';
    for await (const chunk of await reply) body += String(chunk);
    return body;
  };

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  it('bounds the data buffered for a slow reader, then resets the connection', async () => {
    await openStream(true);
    let maxBufferedBytes = 0;
    for (let position = 0; faults.length === 0 && position < MAX_FRAMES; position += 1) {
      stream.deliver(frameAt(position));
      maxBufferedBytes = Math.max(maxBufferedBytes, response.writableLength);
      if (position % 64 === 0) await setImmediate();
    }
    stream.deliver(frameAt(0));
    stream.finish('stop');
    expect(faults).toEqual(['slow-reader']);
    expect(maxBufferedBytes).toBeLessThanOrEqual(BUFFER_BYTES + 2 * TEXT.length);
    expect(response.destroyed).toBe(true);
    await expect(readAll()).rejects.toThrow('aborted');
  });

  it.each([
    ['another request', { request: 'r2' }],
    ['another workspace', { workspace: 'derwent' }],
    ['a repeated position', { position: 0 }],
    ['a skipped position', { position: 2 }],
  ])('does not deliver a token with %s', async (_what, change) => {
    await openStream(true);
    stream.deliver(frameAt(0, { text: 'first' }));
    stream.deliver(frameAt(1, { text: 'wrong', ...change }));
    const body = await readAll();
    expect(faults).toEqual(['wrong-delivery']);
    expect(body).toContain('first');
    expect(body).not.toContain('wrong"');
    expect(body).toContain('event: error');
    expect(body).not.toContain('[DONE]');
  });

  it('sends only a problem document if a non-streamed answer is refused after some tokens', async () => {
    await openStream(false);
    stream.deliver(frameAt(0, { text: 'first' }));
    stream.refuse({ outcome: 'failed', reason: 'stage-failed', detail: 'engine-1 is gone' });
    expect(JSON.parse(await readAll())).toMatchObject({ outcome: 'failed', status: 502 });
  });
});
