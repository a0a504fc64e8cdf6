import type { PlainCall } from '../operations/operationMessage';
import { createPeerClient } from './createPeerClient';
import type { PeerClient } from './createPeerClient';
import { createPeerServer } from './createPeerServer';
import type { PeerServer } from './createPeerServer';
import { createSeal } from './createSeal';
import type { PeerAsk, PeerReply } from './peerMessage';

const KEY = 'k'.repeat(32);
const TIMEOUT_MS = 2000;

const call: PlainCall = {
  call: 'c1',
  workspace: 'kiambu',
  service: 'desk',
  method: 'POST',
  path: '/deposits',
  body: '{"job":7}',
  contentType: 'application/json',
  operation: 'ticket/1',
  forwardedBy: 'vm-2',
  asksOutcome: true,
};

const forward: PeerAsk = { type: 'forward', from: 'vm-2', incarnation: 7, call };

describe('createPeerServer', () => {
  let asked: PeerAsk[];
  let reply: () => Promise<PeerReply>;
  let server: PeerServer;
  let client: PeerClient;

  beforeEach(async () => {
    asked = [];
    reply = () => Promise.resolve({ type: 'taken' });
    server = await createPeerServer({
      listen: { host: '127.0.0.1', port: 0 },
      seal: createSeal('test', { current: KEY }),
      answer: (ask) => {
        asked.push(ask);
        return reply();
      },
    });
    client = createPeerClient(createSeal('test', { current: KEY }));
  });

  afterEach(() => {
    client.close();
    server.close();
  });

  it('brings a forwarded call over with every property, and its result back', async () => {
    const result = {
      type: 'refused',
      refusal: { outcome: 'not-run', reason: 'draining', detail: 'later', retryAfterMs: 5 },
    } as const;
    reply = () => Promise.resolve({ type: 'called', result });
    const answer = await client.ask(server.address, forward, TIMEOUT_MS);
    expect(asked).toEqual([forward]);
    expect(answer).toEqual({ type: 'called', result });
  });

  it('says unreachable where nobody listens', async () => {
    server.close();
    const answer = await client.ask(server.address, forward, TIMEOUT_MS);
    expect(answer).toEqual({ type: 'unreachable' });
    expect(asked).toEqual([]);
  });

  it('says lost, not unreachable, once the call was sent', async () => {
    reply = () => {
      server.close();
      return new Promise(() => undefined);
    };
    const answer = await client.ask(server.address, forward, TIMEOUT_MS);
    expect(answer).toEqual({ type: 'lost' });
    expect(asked).toHaveLength(1);
  });

  it('takes nothing from a VM without the key', async () => {
    const stranger = createPeerClient(createSeal('test', { current: 'x'.repeat(32) }));
    const answer = await stranger.ask(server.address, forward, TIMEOUT_MS);
    stranger.close();
    expect(answer).toEqual({ type: 'lost' });
    expect(asked).toEqual([]);
  });

  it('takes nothing from a VM of another fleet', async () => {
    const stranger = createPeerClient(createSeal('other', { current: KEY }));
    const answer = await stranger.ask(server.address, forward, TIMEOUT_MS);
    stranger.close();
    expect([answer, asked]).toEqual([{ type: 'lost' }, []]);
  });

  it('takes the previous key while keys change over', async () => {
    const behind = createPeerClient(createSeal('test', { current: 'x'.repeat(32), previous: KEY }));
    const ahead = await createPeerServer({
      listen: { host: '127.0.0.1', port: 0 },
      seal: createSeal('test', { current: KEY, previous: 'x'.repeat(32) }),
      answer: () => Promise.resolve({ type: 'taken' }),
    });
    const answer = await behind.ask(ahead.address, forward, TIMEOUT_MS);
    behind.close();
    ahead.close();
    expect(answer).toEqual({ type: 'taken' });
  });
});
