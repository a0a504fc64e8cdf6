import { encode } from '@msgpack/msgpack';
import { decodePartitionNotice, encodePartitionNotice } from './partitionCodec';

describe('partitionCodec', () => {
  it.each([true, false])('decodes what it has encoded: %s', (isPartitioned) => {
    const notice = { vm: 'vm-1', isPartitioned };
    expect(decodePartitionNotice(encodePartitionNotice(notice))).toEqual(notice);
  });

  it('drops anything else', () => {
    expect(decodePartitionNotice(new Uint8Array([0xc1]))).toBeUndefined();
    expect(decodePartitionNotice(encode(['partition-0', 'vm-1', true]))).toBeUndefined();
  });
});
