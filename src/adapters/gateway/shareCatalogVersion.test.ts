import type { Catalog } from '../../catalog/catalog';
import { decodeCatalogVersion, encodeCatalogVersion } from '../../peers/catalogVersionCodec';
import { shareCatalogVersion } from './shareCatalogVersion';

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

function share(options: { readonly era: number; readonly version?: number }) {
  const sent: (number | undefined)[] = [];
  const reported: number[] = [];
  const catalog = { version: options.version } as Catalog;
  const sharing = shareCatalogVersion({
    catalog: {
      current: () => (options.version === undefined ? undefined : catalog),
      era: () => options.era,
    },
    startCheck: { recordReported: (version) => reported.push(version) },
    broadcast: (datagram) => sent.push(decodeCatalogVersion(datagram)),
    now: () => performance.now(),
  });
  return { ...sharing, sent, reported };
}

describe('shareCatalogVersion', () => {
  it('tells a VM that starts, repeatedly for a while', () => {
    const { sendSoon, sent, close } = share({ era: 1, version: 9 });
    jest.advanceTimersByTime(1_000);
    expect(sent).toEqual([]);
    sendSoon();
    jest.advanceTimersByTime(600);
    expect(sent).toEqual([9, 9, 9]);
    jest.advanceTimersByTime(60_000);
    expect(sent.length).toBeLessThanOrEqual(21);
    close();
  });

  it.each([{ era: 0, version: 9 }, { era: 1 }])('tells nothing in %j', (options) => {
    const { sendSoon, sent, close } = share(options);
    sendSoon();
    jest.advanceTimersByTime(1_000);
    expect(sent).toEqual([]);
    close();
  });

  it('joins what other VMs tell, and nothing else', () => {
    const { receive, reported, close } = share({ era: 0 });
    receive(encodeCatalogVersion(9));
    receive(new Uint8Array([0xc1]));
    expect(reported).toEqual([9]);
    close();
  });
});
