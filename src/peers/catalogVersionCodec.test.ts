import { encode } from '@msgpack/msgpack';
import { decodeCatalogVersion, encodeCatalogVersion } from './catalogVersionCodec';
import { encodePartitionNotice } from './partitionCodec';

describe('catalogVersionCodec', () => {
  it.each([0, 43, 1_700_000_000_000])('decodes what it has encoded: %i', (version) => {
    expect(decodeCatalogVersion(encodeCatalogVersion(version))).toBe(version);
  });

  it.each([
    new Uint8Array([0xc1]),
    encode(['catalog-1', -1]),
    encode(['catalog-1', 1.5]),
    encode(['catalog-1', '43']),
    encode(['catalog-1']),
    encode(['catalog-0', 43]),
    encodePartitionNotice({ vm: 'vm-1', isPartitioned: true }),
  ])('drops anything else (case %#)', (datagram) => {
    expect(decodeCatalogVersion(datagram)).toBeUndefined();
  });
});
