import { encode } from '@msgpack/msgpack';
import { CATALOG_FORMAT, encodeCatalogVersion } from './catalogVersionCodec';
import { CONTENTS_FORMAT, encodeContentReports } from './contentReportCodec';
import { encodeHeartbeat } from './heartbeatCodec';
import { encodeLimitReports, LIMITS_FORMAT } from './limitReportCodec';
import { encodePartitionNotice, PARTITION_FORMAT } from './partitionCodec';
import { readDatagramFormat } from './readDatagramFormat';

describe('readDatagramFormat', () => {
  it.each([
    [CATALOG_FORMAT, encodeCatalogVersion(3)],
    [CONTENTS_FORMAT, encodeContentReports([])],
    [LIMITS_FORMAT, encodeLimitReports([])],
    [PARTITION_FORMAT, encodePartitionNotice({ vm: 'vm', isPartitioned: true })],
  ])('names the format %s', (format, datagram) => {
    expect(readDatagramFormat(datagram)).toBe(format);
  });

  it('names none for a heartbeat', () => {
    const heartbeat = encodeHeartbeat({
      ...{ vm: 'vm', incarnation: '1', isAccepting: true, lost: [], domains: [] },
      work: { servers: new Map(), crossingPerMs: 0 },
    });
    expect(readDatagramFormat(heartbeat)).toBeUndefined();
  });

  it.each([
    ['nothing', new Uint8Array()],
    ['an empty array', encode([])],
    ['a text', encode('contents-1')],
  ])('names none for %s', (_, datagram) => {
    expect(readDatagramFormat(datagram)).toBeUndefined();
  });

  it('reads no further than a datagram that is cut short', () => {
    expect(readDatagramFormat(Uint8Array.of(0x91, 0xbf, 0x61))).toBe('a');
  });
});
