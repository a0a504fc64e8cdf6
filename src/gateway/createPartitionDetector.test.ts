import { createPartitionDetector } from './createPartitionDetector';

type Check = 'accepted' | 'refused' | 'silent';

const servers = ['a', 'b', 'c', 'd', 'e', 'f'].map((id) => ({ id, address: `${id}:1` }));

function createDetector(listed = servers) {
  let nowMs = 0;
  let resultOf: (address: string) => Check = () => 'accepted';
  let isPending: (address: string) => boolean = () => false;
  const later: (() => void)[] = [];
  const checked: string[] = [];
  const changes: [boolean, number][] = [];
  const detector = createPartitionDetector({
    servers: () => listed,
    checkConnection: (address) => {
      checked.push(address);
      if (isPending(address)) return new Promise<Check>(() => undefined);
      return Promise.resolve(resultOf(address));
    },
    now: () => nowMs,
    random: () => 0,
    log: () => undefined,
    count: () => undefined,
    callLater: (run) => later.push(run),
  });
  detector.onChange((...change) => changes.push(change));
  return {
    detector,
    checked,
    changes,
    setTime: (ms: number) => {
      nowMs = ms;
    },
    setResults: (next: (address: string) => Check) => {
      resultOf = next;
    },
    setPending: (next: (address: string) => boolean) => {
      isPending = next;
    },
    runLater: () => {
      for (const run of later.splice(0)) run();
    },
  };
}

describe('createPartitionDetector', () => {
  it('finds that no server is reached when several refuse or do not answer', async () => {
    const { detector, setResults, setTime, changes } = createDetector();
    setTime(500);
    setResults((address) => (address === 'a:1' ? 'refused' : 'silent'));
    detector.trackConnection().failed();
    expect(await detector.verify()).toBe(true);
    expect([detector.isPartitioned(), changes]).toEqual([true, [[true, 500]]]);
  });

  it('checks others when a connection is late, before it has failed', async () => {
    const { detector, checked, setResults, runLater } = createDetector();
    setResults(() => 'silent');
    detector.trackConnection();
    expect(checked).toEqual([]);
    runLater();
    expect(checked).toHaveLength(6);
    expect(await detector.verify()).toBe(true);
  });

  it('checks nothing when connections succeed', () => {
    const { detector, checked, runLater } = createDetector();
    detector.trackConnection().succeeded();
    runLater();
    expect(checked).toEqual([]);
  });

  it('takes the failure of one server for its own', async () => {
    const { detector, setResults } = createDetector();
    setResults((address) => (address === 'a:1' ? 'refused' : 'accepted'));
    detector.trackConnection().failed();
    expect(await detector.verify()).toBe(false);
  });

  it('does not wait for servers that do not answer once one has accepted', async () => {
    const { detector, setPending } = createDetector();
    setPending((address) => address !== 'a:1');
    expect(await detector.verify()).toBe(false);
  });

  it('believes a connection that succeeds while others are checked', async () => {
    const { detector, setResults } = createDetector();
    setResults(() => 'silent');
    const verified = detector.verify();
    detector.trackConnection().succeeded();
    expect(await verified).toBe(false);
  });

  it('ends a partition when a server accepts a connection again', async () => {
    const { detector, setResults, setTime, changes } = createDetector();
    setResults(() => 'silent');
    await detector.verify();
    setTime(250);
    await detector.recheck();
    expect(detector.isPartitioned()).toBe(true);
    setResults((address) => (address === 'b:1' ? 'accepted' : 'silent'));
    setTime(500);
    await detector.recheck();
    expect(changes).toEqual([
      [true, 0],
      [false, 0],
    ]);
  });

  it('knows of no partition while no server is listed', async () => {
    const { detector } = createDetector([]);
    expect(await detector.verify()).toBe(false);
  });
});
