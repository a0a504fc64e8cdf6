import { decodeContentReports, encodeContentReports } from './contentReportCodec';
import { decodeHeartbeat } from './heartbeatCodec';

const report = { content: 'c1', servers: ['a/1', 'b/2'], disproved: ['a/1'], ageMs: 40 };

describe('contentReportCodec', () => {
  it('decodes what it encodes', () => {
    expect(decodeContentReports(encodeContentReports([report]))).toEqual([report]);
  });

  it('is no heartbeat', () => {
    expect(decodeHeartbeat(encodeContentReports([report]))).toBeUndefined();
  });

  it('drops datagrams of other formats', () => {
    expect(decodeContentReports(Uint8Array.of(1, 2, 3))).toBeUndefined();
    expect(
      decodeContentReports(encodeContentReports([{ ...report, content: 'x'.repeat(201) }])),
    ).toBeUndefined();
  });
});
