import type { CallerOutcome, CallerRequestKind } from '../../platform/standins/sendRequest';
import type { ServerIdentity } from '../../platform/standins/engineStandin';
import { createSoakLedger } from './soakLedger';
import type { Circumstances, SoakLedger } from './soakLedger';

const LIMITS = {
  stream: { maxAttempts: 2, timeoutMs: 3_500 },
  lookup: { maxAttempts: 2, timeoutMs: 3_500 },
  once: { maxAttempts: 1, timeoutMs: 3_500 },
};

const X: ServerIdentity = { id: 'x', address: '127.0.0.1:1' };
const Y: ServerIdentity = { id: 'y', address: '127.0.0.1:2' };

const UNDISTURBED: Circumstances = { wasGatewayDisturbed: false, elapsedMs: 3_484 };

const createLedger = (): SoakLedger =>
  createSoakLedger({ layers: 8, limits: LIMITS, streamBody: (id) => `all of ${id}` });

/** Plays events between the sending of request `r` and its outcome. */
function findPlayViolations(
  kind: CallerRequestKind,
  play: (ledger: SoakLedger) => void,
  outcome: CallerOutcome = { type: 'cut' },
  circumstances = UNDISTURBED,
): readonly string[] {
  const ledger = createLedger();
  ledger.recordSending('r', kind);
  play(ledger);
  ledger.recordOutcome('r', outcome, circumstances);
  return ledger.findings();
}

function findViolations(
  kind: CallerRequestKind,
  outcome: CallerOutcome,
  runs: readonly string[],
  stages = '',
): readonly string[] {
  const play = (ledger: SoakLedger): void => {
    for (const server of runs) ledger.recordRun('r', server, stages);
  };
  return findPlayViolations(kind, play, outcome);
}

const createWholeOutcome = (body: string, isSealed = true): CallerOutcome => ({
  type: 'whole',
  body,
  isSealed,
});

describe('createSoakLedger', () => {
  it('reports nothing when every guarantee was kept', () => {
    expect(findViolations('once', createWholeOutcome('{"requestId":"r"}'), ['x'])).toEqual([]);
    expect(
      findViolations('stream', createWholeOutcome('all of r'), ['x', 'y'], 'x:1=0-3,y:1=3-8'),
    ).toEqual([]);
    expect(findViolations('once', { type: 'failed', status: 502 }, ['x'])).toEqual([]);
    expect(findViolations('once', { type: 'refused', status: 503 }, [])).toEqual([]);
    expect(findViolations('stream', { type: 'cut' }, [])).toEqual([]);
  });

  it('reports a call that must not be repeated and ran twice', () => {
    expect(findViolations('once', { type: 'cut' }, ['x', 'y'])[0]).toMatch(/^ran twice/);
  });

  it('reports a refusal of a request that ran', () => {
    for (const kind of ['once', 'lookup', 'stream'] as const) {
      expect(findViolations(kind, { type: 'refused', status: 503 }, ['x'])[0]).toMatch(
        /^said not to have run/,
      );
    }
  });

  it('reports answers that are truncated, belong to another request or lack the server’s signature', () => {
    expect(findViolations('stream', createWholeOutcome('all of'), ['x'])[0]).toMatch(
      /^wrong answer/,
    );
    expect(findViolations('lookup', createWholeOutcome('{"requestId":"q"}'), ['x'])[0]).toMatch(
      /^wrong answer/,
    );
    expect(
      findViolations('lookup', createWholeOutcome('{"requestId":"r"}', false), ['x'])[0],
    ).toMatch(/signature/);
  });

  it('reports paths that omit, repeat or reorder layers', () => {
    for (const stages of ['x:1=0-3,y:1=4-8', 'x:1=0-5,y:1=3-8', 'x:1=4-8,y:1=0-4', 'x:1=0-7']) {
      expect(findViolations('stream', { type: 'cut' }, ['x'], stages)[0]).toMatch(/^path/);
    }
  });

  it('reports requests that ran without being sent', () => {
    const ledger = createLedger();
    ledger.recordRun('r', 'x', '');
    expect(ledger.findings()[0]).toMatch(/^ran without being sent/);
  });

  it('reports requests that run on more servers than their route allows', () => {
    const whole = createWholeOutcome('all of r');
    expect(findViolations('stream', whole, ['x', 'y', 'z'])).toEqual([
      'ran on too many servers: r (stream), ran on x (running), y (running), z (running)',
    ]);
    expect(
      findViolations('lookup', createWholeOutcome('{"requestId":"r"}'), ['x', 'y', 'z']),
    ).toHaveLength(1);
    expect(
      findViolations('once', createWholeOutcome('{"requestId":"r"}'), ['x', 'y']),
    ).toHaveLength(2);
    expect(findViolations('stream', whole, ['x', 'y', 'x'])).toEqual([]);
  });

  it('reports too many servers although the first run had ended at its server', () => {
    const play = (ledger: SoakLedger): void => {
      ledger.recordRun('r', 'x', '');
      ledger.recordRunEnd('r', 'x', 'finished', 1);
      ledger.recordRun('r', 'y', '');
      ledger.recordRunEnd('r', 'y', 'closed by gateway', 2);
      ledger.recordRun('r', 'z', '');
    };
    expect(findPlayViolations('stream', play, createWholeOutcome('all of r'))).toEqual([
      'ran on too many servers: r (stream), ran on x (finished), y (closed by gateway), z (running)',
    ]);
  });

  it('does not count servers that crashed between the beginning of their run and the next run', () => {
    const playWith =
      (cause: 'crashed' | 'reset', isInTime: boolean) =>
      (ledger: SoakLedger): void => {
        ledger.recordRun('r', 'x', '');
        ledger.recordRun('r', 'y', '');
        if (isInTime) ledger.recordLostConnections(X, cause);
        ledger.recordRun('r', 'z', '');
        if (!isInTime) ledger.recordLostConnections(X, cause);
      };
    const whole = createWholeOutcome('all of r');
    expect(findPlayViolations('stream', playWith('crashed', true), whole)).toEqual([]);
    expect(findPlayViolations('stream', playWith('crashed', false), whole)).toHaveLength(1);
    expect(findPlayViolations('stream', playWith('reset', true), whole)).toHaveLength(1);
  });

  it('counts a server that crashed before it began the run', () => {
    const play = (ledger: SoakLedger): void => {
      ledger.recordLostConnections(X, 'crashed');
      for (const server of ['x', 'y', 'z']) ledger.recordRun('r', server, '');
    };
    expect(findPlayViolations('stream', play, createWholeOutcome('all of r'))).toHaveLength(1);
  });

  it('reports answers that break although no server or gateway failed', () => {
    for (const kind of ['once', 'lookup', 'stream'] as const) {
      for (const end of ['closed by gateway', 'finished'] as const) {
        const play = (ledger: SoakLedger): void => {
          ledger.recordRun('r', 'x', '');
          ledger.recordRunEnd('r', 'x', end, 1);
        };
        expect(findPlayViolations(kind, play)).toEqual([
          `answer broken without a reason: r (${kind}), ran on x (${end})`,
        ]);
      }
    }
  });

  it('reports a broken answer of a request that a server runs only afterwards', () => {
    const ledger = createLedger();
    ledger.recordSending('r', 'stream');
    ledger.recordOutcome('r', { type: 'cut' }, UNDISTURBED);
    ledger.recordRun('r', 'x', '');
    expect(ledger.findings()[0]).toMatch(/^answer broken without a reason/);
  });

  it('excuses broken answers by a server that failed, a gateway that failed and the time-out', () => {
    const play = (ledger: SoakLedger): void => {
      ledger.recordRun('r', 'x', '');
    };
    const playBrokenOff = (ledger: SoakLedger): void => {
      play(ledger);
      ledger.recordRunEnd('r', 'x', 'broken off', 1);
    };
    const playLost =
      (server: ServerIdentity, cause: 'crashed' | 'reset') =>
      (ledger: SoakLedger): void => {
        play(ledger);
        ledger.recordLostConnections(server, cause);
      };
    const cut: CallerOutcome = { type: 'cut' };
    expect(findPlayViolations('stream', playBrokenOff)).toEqual([]);
    expect(findPlayViolations('stream', playLost(X, 'crashed'))).toEqual([]);
    expect(findPlayViolations('stream', playLost(X, 'reset'))).toEqual([]);
    expect(findPlayViolations('stream', playLost(Y, 'reset'))).toHaveLength(1);
    expect(
      findPlayViolations('stream', play, cut, { wasGatewayDisturbed: true, elapsedMs: 1 }),
    ).toEqual([]);
    expect(
      findPlayViolations('stream', play, cut, { wasGatewayDisturbed: false, elapsedMs: 3_485 }),
    ).toEqual([]);
  });

  it('judges a broken answer by the last run and by failures before the outcome', () => {
    const playMoved = (ledger: SoakLedger): void => {
      ledger.recordRun('r', 'x', '');
      ledger.recordRunEnd('r', 'x', 'broken off', 1);
      ledger.recordRun('r', 'y', '');
      ledger.recordRunEnd('r', 'y', 'closed by gateway', 2);
    };
    expect(findPlayViolations('stream', playMoved)).toHaveLength(1);
    const playClosed = (played: SoakLedger): void => {
      played.recordRun('r', 'x', '');
      played.recordRunEnd('r', 'x', 'closed by gateway', 1);
      played.recordLostConnections(X, 'crashed');
    };
    expect(findPlayViolations('stream', playClosed)).toHaveLength(1);
    const ledger = createLedger();
    ledger.recordSending('r', 'stream');
    ledger.recordRun('r', 'x', '');
    ledger.recordOutcome('r', { type: 'cut' }, UNDISTURBED);
    ledger.recordLostConnections(X, 'crashed');
    expect(ledger.findings()).toHaveLength(1);
  });

  it('judges a broken answer of two runs beside each other by the one that the gateway left last', () => {
    const playWith =
      (closedMs: number) =>
      (ledger: SoakLedger): void => {
        ledger.recordRun('r', 'x', '');
        ledger.recordRun('r', 'y', '');
        ledger.recordLostConnections(X, 'crashed');
        ledger.recordRunEnd('r', 'x', 'crashed', 10);
        ledger.recordRunEnd('r', 'y', 'closed by gateway', closedMs);
      };
    expect(findPlayViolations('stream', playWith(9))).toEqual([]);
    expect(findPlayViolations('stream', playWith(11))).toHaveLength(1);
  });

  it('knows of a run that began only after the answer broke when the gateway had left it', () => {
    const playWith = (closedMs: number): readonly string[] => {
      const ledger = createLedger();
      ledger.recordSending('r', 'stream');
      ledger.recordRun('r', 'x', '');
      ledger.recordLostConnections(X, 'crashed');
      ledger.recordRunEnd('r', 'x', 'crashed', 10);
      ledger.recordOutcome('r', { type: 'cut' }, UNDISTURBED);
      ledger.recordRun('r', 'y', '');
      ledger.recordRunEnd('r', 'y', 'closed by gateway', closedMs);
      return ledger.findings();
    };
    expect(playWith(9)).toEqual([]);
    expect(playWith(11)).toHaveLength(1);
  });

  it('excuses a broken answer by the crash of another server on the path at that time', () => {
    const playWith =
      (replaced: string | undefined, cause: 'crashed' | 'reset') =>
      (ledger: SoakLedger): void => {
        ledger.recordRun('r', 'x', '127.0.0.1:1=0-4,127.0.0.1:2=4-8');
        if (replaced !== undefined) ledger.recordStages('r', 'x', replaced);
        ledger.recordLostConnections(Y, cause);
      };
    expect(findPlayViolations('stream', playWith(undefined, 'crashed'))).toEqual([]);
    expect(findPlayViolations('stream', playWith(undefined, 'reset'))).toHaveLength(1);
    const repaired = '127.0.0.1:1=0-4,127.0.0.1:20=4-8';
    expect(findPlayViolations('stream', playWith(repaired, 'crashed'))).toHaveLength(1);
  });
});
