import type { SoakExchange } from './createDisturbanceRecord';
import { createDisturbanceRecord } from './createDisturbanceRecord';
import type { ServerLinks } from './startServerLinks';

const SENT_MS = 1_000;
const ENDED_MS = 2_000;

interface Disturbance {
  readonly partitionedMs?: number;
  readonly frozenMs?: number;
}

const createGateway = (address: string, { partitionedMs, frozenMs }: Disturbance) => {
  const isIn = (fromMs: number, toMs: number, atMs = Infinity) => fromMs <= atMs && atMs <= toMs;
  const links: Pick<ServerLinks, 'wasPartitioned'> = {
    wasPartitioned: (fromMs, toMs) => isIn(fromMs, toMs, partitionedMs),
  };
  return {
    address,
    links: links as ServerLinks,
    wasDisturbed: (fromMs: number, toMs: number) => isIn(fromMs, toMs, frozenMs),
  };
};

/** The caller has asked `asked`, which had `runner` run the request; `other` took no part. */
const judge = (disturbances: Readonly<Record<string, Disturbance>>): boolean => {
  const gateways = ['asked', 'runner', 'other'].map((address) =>
    createGateway(address, disturbances[address] ?? {}),
  );
  const exchange: SoakExchange = {
    gateways,
    address: 'asked',
    sentMs: SENT_MS,
    endedMs: ENDED_MS,
  };
  const record = createDisturbanceRecord();
  record.recordRun('r', gateways[1]?.links);
  record.recordRun('of another request', gateways[2]?.links);
  return record.wasDisturbed('r', exchange);
};

describe('createDisturbanceRecord', () => {
  // A stream broken by a partition of the VM that ran it for another one counted as broken without a reason.
  it.each(['asked', 'runner'])('counts what befalls the VM %s', (address) => {
    expect(judge({ [address]: { partitionedMs: 1_500 } })).toBe(true);
    expect(judge({ [address]: { frozenMs: 1_500 } })).toBe(true);
  });

  it('counts nothing that befalls a VM which takes no part', () => {
    expect(judge({ other: { partitionedMs: 1_500, frozenMs: 1_500 } })).toBe(false);
  });

  it.each([500, 2_500])('counts nothing at another time: %d ms', (atMs) => {
    expect(judge({ asked: { partitionedMs: atMs }, runner: { frozenMs: atMs } })).toBe(false);
  });

  it('knows the VM that the caller asked where no server ran the request', () => {
    const gateways = [createGateway('asked', { frozenMs: 1_500 })];
    const exchange = { gateways, address: 'asked', sentMs: SENT_MS, endedMs: ENDED_MS };
    expect(createDisturbanceRecord().wasDisturbed('r', exchange)).toBe(true);
  });
});
