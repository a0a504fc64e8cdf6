import { decodeHeartbeat, encodeHeartbeat } from './heartbeatCodec';

describe('decodeHeartbeat', () => {
  it('reads what was written', () => {
    const heartbeat = {
      vm: 'front-1',
      incarnation: 'c0ffee',
      isAccepting: true,
      loads: new Map([['engine-1', { reserved: 4_200, running: 3 }]]),
      lost: [{ id: 'engine-2', bornMs: 1_700_000_000_000 }],
    };
    expect(decodeHeartbeat(encodeHeartbeat(heartbeat))).toEqual(heartbeat);
  });

  it('refuses what is no heartbeat', () => {
    expect(decodeHeartbeat(Buffer.from([0xc1]))).toBeUndefined();
    expect(decodeHeartbeat(Buffer.from([0x93, 1, 2, 3]))).toBeUndefined();
  });
});
