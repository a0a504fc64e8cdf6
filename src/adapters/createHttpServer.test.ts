import { CALLER_TOKEN, OPERATOR_TOKEN, startTestSite } from '../node/testSite';
import type { TestSite } from '../node/testSite';

describe('createHttpServer', () => {
  let site: TestSite;

  beforeAll(async () => {
    site = await startTestSite();
  });

  afterAll(async () => {
    await site.stop();
  });

  const post = (path: string, body: unknown, headers: Record<string, string>) =>
    fetch(`${site.url}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${CALLER_TOKEN}`, ...headers },
      body: typeof body === 'string' ? body : JSON.stringify(body),
    });

  it.each([
    ['unauthenticated', 401, '/v1/completions', {}, { authorization: 'Bearer wrong' }],
    ['no-such-service', 404, '/v1/completions', { model: 'other', prompt: 'a' }, {}],
    ['no-such-path', 404, '/v1/elsewhere', {}, {}],
    ['no-such-method', 405, '/v1/addresses', {}, {}],
    ['invalid-request', 400, '/v1/completions', '{', {}],
    ['invalid-request', 400, '/v1/completions', { model: 'drafts' }, {}],
    ['unsupported-parameter', 400, '/v1/completions', { model: 'drafts', prompt: 'a', n: 2 }, {}],
    ['too-many-tokens', 400, '/v1/completions', { model: 'drafts', prompt: 'a'.repeat(5000) }, {}],
    ['body-too-large', 413, '/v1/completions', 'x'.repeat(2 ** 20 + 1), {}],
    ['headers-too-large', 431, '/v1/completions', {}, { 'x-long': 'x'.repeat(20_000) }],
  ])(
    'responds with %s, status %i and outcome not-run',
    async (reason, status, path, body, headers) => {
      const reply = await post(path, body, headers);
      expect(reply.status).toBe(status);
      expect(await reply.json()).toMatchObject({
        type: `urn:citronpass:problem:${reason}`,
        outcome: 'not-run',
        status,
      });
    },
  );

  it.each([
    ['/metrics', 200, 'citronpass_requests_running 0'],
    ['/livez', 200, '"live":true'],
    ['/readyz', 200, '"ready":true'],
  ])('answers %s without a token', async (path, status, part) => {
    const reply = await fetch(`${site.url}${path}`);
    expect(reply.status).toBe(status);
    expect(await reply.text()).toContain(part);
  });

  it('restricts operator paths to operators', async () => {
    const get = (token: string) =>
      fetch(`${site.url}/v1/operator/status`, { headers: { authorization: `Bearer ${token}` } });
    expect((await get(CALLER_TOKEN)).status).toBe(401);
    expect(await (await get(OPERATOR_TOKEN)).json()).toMatchObject({ revision: 1 });
  });

  it('plans an intent, confirms it and lists it in the audit trail', async () => {
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    const intent = {
      type: 'describe-site',
      changes: [
        {
          type: 'put',
          kind: 'failureDomain',
          key: 'b',
          value: { id: 'b', region: 'nairobi' },
        },
      ],
    };
    const stated = await post('/v1/operator/intents', { intent, reason: 'second hall' }, headers);
    const answer = (await stated.json()) as { plan: { id: string } };
    expect(stated.status).toBe(200);
    const confirmed = await post(`/v1/operator/plans/${answer.plan.id}/confirm`, {}, headers);
    expect(confirmed.status).toBe(200);
    const audit = await fetch(`${site.url}/v1/operator/audit?who=amina`, { headers });
    expect(JSON.stringify(await audit.json())).toContain('second hall');
  });
});
