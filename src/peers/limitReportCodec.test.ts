import { encode } from '@msgpack/msgpack';
import { decodeLimitReports, encodeLimitReports } from './limitReportCodec';

const reports = [
  { id: 'x', bornMs: 5, perSecond: 4.7, ageMs: 120 },
  { id: 'y', bornMs: 6, perSecond: 0, ageMs: 0 },
  { id: 'z', bornMs: 7, perSecond: undefined, ageMs: 3_000 },
];

describe('limitReportCodec', () => {
  it('decodes what it has encoded', () => {
    expect(decodeLimitReports(encodeLimitReports(reports))).toEqual(reports);
  });

  it.each([
    ['no MessagePack', new Uint8Array([0xc1])],
    ['another format', encode(['limits-0', []])],
    ['a limit below zero', encode(['limits-1', [['x', 5, -1, 0]]])],
    ['an age below zero', encode(['limits-1', [['x', 5, 1, -1]]])],
  ])('drops %s', (_, datagram) => {
    expect(decodeLimitReports(datagram)).toBeUndefined();
  });
});
