import { decodeForwardedRequest, encodeForwardedRequest } from '../gateway/forwardedRequest';
import { parsePeerRecord } from '../node/parsePeerRecord';
import { decodeContentReports, encodeContentReports } from './contentReportCodec';
import { decodeLimitReports, encodeLimitReports } from './limitReportCodec';
import { decodePartitionNotice, encodePartitionNotice } from './partitionCodec';

/**
 * What version f63a78b writes, datagrams as hexadecimal. VMs of that version run beside this one while the fleet is
 * upgraded, so it must be read, and this version must write the same. The heartbeat is in heartbeatCodec.test.ts.
 */
const PRODUCTION = {
  contents:
    '92aa636f6e74656e74732d319194af706172743a64726166743a6261643092a46d302f35a46d312f3691a46d302f35cd04b0',
  limits: '92a86c696d6974732d319294a3702d61cf0000018bcfe56800cb40120000000000001e94a3702d6207c000',
  partition: '93ab706172746974696f6e2d31a4766d2d30c3',
  forwarded:
    '%7B%22vm%22%3A%22vm-0%22%2C%22servers%22%3A%5B%22m0%22%2C%22vm%20vm-2%22%5D%2C%22isCounted%22%3Atrue%2C' +
    '%22isRetry%22%3Afalse%2C%22catalogVersion%22%3A12%7D',
  record:
    '{"vm":"vm-0","incarnation":"c0ffee00","callerAddress":"10.1.0.4:1","peerAddress":"10.1.0.4:2",' +
    '"tableAddress":"10.1.0.4:3","failureDomain":"a","cores":0.675}',
};

const fromHex = (text: string): Uint8Array => Buffer.from(text, 'hex');
const toHex = (datagram: Uint8Array): string => Buffer.from(datagram).toString('hex');

describe('formats of the version in production', () => {
  it('reads and writes reports of contents', () => {
    const reports = [
      { content: 'part:draft:bad0', servers: ['m0/5', 'm1/6'], disproved: ['m0/5'], ageMs: 1_200 },
    ];
    expect(decodeContentReports(fromHex(PRODUCTION.contents))).toEqual(reports);
    expect(toHex(encodeContentReports(reports))).toBe(PRODUCTION.contents);
  });

  it('reads and writes reports of limits', () => {
    const reports = [
      { id: 'p-a', bornMs: 1_700_000_000_000, perSecond: 4.5, ageMs: 30 },
      { id: 'p-b', bornMs: 7, perSecond: undefined, ageMs: 0 },
    ];
    expect(decodeLimitReports(fromHex(PRODUCTION.limits))).toEqual(reports);
    expect(toHex(encodeLimitReports(reports))).toBe(PRODUCTION.limits);
  });

  it('reads and writes notices of partitions', () => {
    const notice = { vm: 'vm-0', isPartitioned: true };
    expect(decodePartitionNotice(fromHex(PRODUCTION.partition))).toEqual(notice);
    expect(toHex(encodePartitionNotice(notice))).toBe(PRODUCTION.partition);
  });

  it('reads and writes the header of forwarded requests', () => {
    const forwarded = {
      vm: 'vm-0',
      servers: ['m0', 'vm vm-2'],
      isCounted: true,
      isRetry: false,
      catalogVersion: 12,
    };
    expect(decodeForwardedRequest(PRODUCTION.forwarded)).toEqual(forwarded);
    expect(encodeForwardedRequest(forwarded)).toBe(PRODUCTION.forwarded);
  });

  it('reads records of VMs', () => {
    expect(parsePeerRecord(PRODUCTION.record)).toEqual(JSON.parse(PRODUCTION.record));
  });
});
