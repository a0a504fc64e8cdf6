import type { AuditEntry } from './auditEntry';
import { chainAudit } from './chainAudit';
import { AUDIT_TABLE } from './planRows';
import { confirmIntent } from './testing/confirmIntent';
import { NO_FAULTS } from './testing/fakeTable';
import type { PlanBench } from './testing/createPlanBench';
import { prepareBench } from './testing/prepareBench';
import { createServiceIntent } from './testing/siteIntents';
import { verifyAudit } from './verifyAudit';

const START = { sequence: 0, hash: '' };

function readTrail(bench: PlanBench): readonly AuditEntry[] {
  return [...bench.table.rows().values()]
    .filter((row) => row.table === AUDIT_TABLE && row.key.startsWith('entry/'))
    .map((row) => JSON.parse(row.value) as AuditEntry)
    .sort((one, other) => one.sequence - other.sequence);
}

describe('verifyAudit', () => {
  const body = {
    wallMs: 1,
    who: 'amina',
    action: 'planned',
    plan: 'p1',
    services: [],
    what: 'x',
    why: 'y',
    revisionBefore: 0,
    revisionAfter: 0,
  } as const;
  const { entries } = chainAudit(START, [body, { ...body, what: 'z' }, body]);

  it('accepts an intact chain', () => {
    expect(verifyAudit(START, entries)).toMatchObject({ type: 'whole', entries: 3 });
  });

  it('names the first entry that was changed, removed or moved', () => {
    const [one, two, three] = entries;
    if (one === undefined || two === undefined || three === undefined) throw new Error('short');
    const changed = verifyAudit(START, [one, { ...two, who: 'brian' }, three]);
    expect(changed).toMatchObject({ type: 'broken', sequence: 2 });
    expect(verifyAudit(START, [one, three])).toMatchObject({ type: 'broken', sequence: 2 });
    expect(verifyAudit(START, [two, one, three])).toMatchObject({ type: 'broken', sequence: 1 });
  });

  it('contains an entry for every accepted change, despite lost replies and an outage', () => {
    const bench = prepareBench();
    bench.table.setFaults({ ...NO_FAULTS, lostReplies: 0.4, lateWrites: 0.2 });
    confirmIntent(bench, createServiceIntent('repairs'), 20_000);
    bench.table.setDown(true);
    bench.ask(0, { type: 'state-intent', intent: createServiceIntent('lost'), reason: 'r' });
    bench.run(5000);
    bench.table.setDown(false);
    confirmIntent(bench, createServiceIntent('quotes'), 20_000);
    const trail = readTrail(bench);
    expect(verifyAudit(START, trail)).toMatchObject({ type: 'whole' });
    const accepted = trail
      .filter(({ revisionBefore, revisionAfter }) => revisionAfter > revisionBefore)
      .map(({ revisionAfter }) => revisionAfter);
    const { revision } = bench.configuration();
    expect(accepted).toEqual(Array.from({ length: revision }, (_item, index) => index + 1));
  });

  it('records the revision on which a plan is based, also on a VM that did not commit it', () => {
    const bench = prepareBench();
    confirmIntent(bench, createServiceIntent('repairs'));
    bench.run(1000);
    const { revision } = bench.configuration();
    bench.ask(1, { type: 'state-intent', intent: createServiceIntent('quotes'), reason: 'r' });
    bench.run(1000);
    expect(readTrail(bench).at(-1)).toMatchObject({ action: 'planned', revisionBefore: revision });
  });

  it('is read, filtered and verified by read-audit', () => {
    const bench = prepareBench();
    confirmIntent(bench, createServiceIntent('repairs'));
    const asked = bench.ask(1, {
      type: 'read-audit',
      service: 'kiambu/repairs',
      limit: 10,
      verify: true,
    });
    bench.run(1000);
    const answered = asked.answer?.body as { entries: AuditEntry[]; chain: unknown };
    expect(answered.chain).toMatchObject({ type: 'whole' });
    expect(answered.entries.map(({ action }) => action)).toEqual(['planned', 'confirmed']);
    const [planned, confirmed] = answered.entries;
    expect(planned?.revisionAfter).toBe(confirmed?.revisionBefore);
  });
});
