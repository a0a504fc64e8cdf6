import { createWorkLimit } from './createWorkLimit';

const MEASURE_MS = 100;

function start() {
  let nowMs = 0;
  const logged: string[] = [];
  const limit = createWorkLimit({
    now: () => nowMs,
    random: () => 0.5,
    log: (message) => logged.push(message),
    count: () => undefined,
  });
  const measure = (waitMs: number, times = 1, utilization = 1): void => {
    for (let time = 0; time < times; time += 1) {
      nowMs += MEASURE_MS;
      limit.measure({ waitMs, utilization });
    }
  };
  /** Sends requests on one connection, or each on its own without it. */
  const admitAll = (requests: number, connection?: object): number =>
    Array.from({ length: requests }, () => {
      const own = connection ?? {};
      const isAdmitted = limit.admit(own);
      if (isAdmitted) limit.begin(own);
      return isAdmitted;
    }).filter(Boolean).length;
  return { limit, logged, measure, admitAll };
}

describe('createWorkLimit', () => {
  // A limit of eight requests at the start refused callers whom the VM could have served.
  it('begins without a limit', () => {
    const { limit, measure, admitAll } = start();
    expect(admitAll(200)).toBe(200);
    measure(0, 3);
    expect(limit.limit()).toBeUndefined();
  });

  it('sets a limit with the first late measurement after its start, and not later', () => {
    const { limit, measure, admitAll } = start();
    measure(150, 10);
    admitAll(50);
    measure(150);
    expect(limit.limit()).toBe(40);
    const later = start();
    later.admitAll(50);
    later.measure(0, 30);
    later.measure(150, 2);
    expect(later.limit.limit()).toBeUndefined();
  });

  it('has no limit once none was refused for three seconds', () => {
    const { limit, measure, admitAll, logged } = start();
    measure(0, 30);
    expect(limit.limit()).toBeUndefined();
    expect(admitAll(500)).toBe(500);
    expect(logged).toEqual([]);
  });

  it('takes fewer than are open while new requests wait, and more again when some are refused', () => {
    const { limit, measure, admitAll, logged } = start();
    measure(0, 30);
    admitAll(50);
    measure(150, 3);
    expect(limit.limit()).toBe(40);
    measure(150, 4);
    expect(limit.limit()).toBe(32);
    expect(admitAll(1)).toBe(0);
    measure(20);
    expect(limit.limit()).toBeCloseTo(32.89);
    measure(20);
    expect(limit.limit()).toBeCloseTo(32.89);
    expect(logged).toEqual(['work limited']);
  });

  it('does not count a single late measurement', () => {
    const { limit, measure, admitAll } = start();
    admitAll(50);
    measure(0, 30);
    measure(900, 2);
    measure(0);
    measure(900, 2);
    expect(limit.limit()).toBeUndefined();
  });

  it('takes requests again at once while the processor is idle', () => {
    const { limit, measure, admitAll } = start();
    measure(0, 30);
    admitAll(50);
    measure(150, 3);
    admitAll(1);
    measure(0, 1, 0.5);
    expect(limit.limit()).toBe(60.25);
  });

  // An ordinary caller was refused while connections that sent one request behind the other held all places.
  it('serves connections that have less than their share of the limit', () => {
    const { limit, measure, admitAll } = start();
    measure(0, 30);
    const [greedy, other] = [{}, {}];
    admitAll(50, greedy);
    admitAll(50, other);
    measure(150, 3);
    expect(limit.limit()).toBe(80);
    expect([admitAll(1, greedy), admitAll(1, other), admitAll(1)]).toEqual([0, 0, 1]);
    expect(admitAll(100)).toBe(77);
  });

  it('serves no further connection where each has its share', () => {
    const { measure, admitAll } = start();
    measure(0, 30);
    admitAll(50);
    measure(150, 3);
    expect(admitAll(10)).toBe(0);
  });

  it('serves some requests whatever makes them wait', () => {
    const { limit, measure, admitAll } = start();
    limit.admit({});
    limit.begin({})();
    measure(0, 30);
    measure(2_000, 50);
    expect(admitAll(10)).toBe(4);
  });

  it('sends callers back for longer the more are refused for each that is served', () => {
    const { limit, measure, admitAll } = start();
    expect(limit.retryAfterMs()).toBe(250);
    admitAll(8);
    measure(150);
    admitAll(16);
    expect(limit.retryAfterMs()).toBe(2_000);
    admitAll(1_000);
    expect(limit.retryAfterMs()).toBe(4_000);
  });

  it('counts no request whose body is not complete', () => {
    const { limit } = start();
    const admitted = Array.from({ length: 100 }, () => limit.admit({}));
    expect(admitted).not.toContain(false);
  });
});
