import { decodeHeartbeat, encodeHeartbeat } from './heartbeatCodec';

describe('decodeHeartbeat', () => {
  it('decodes an encoded heartbeat', () => {
    const heartbeat = {
      vm: 'front-1',
      incarnation: 'c0ffee',
      isAccepting: true,
      work: {
        servers: new Map([['engine-1', { reserved: 4_200, running: 3 }]]),
        crossingPerMs: 0.5,
      },
      lost: [{ id: 'engine-2', bornMs: 1_700_000_000_000 }],
      domains: [
        {
          failureDomain: 'a',
          members: [{ vm: 'front-2', incarnation: 'f00', isAccepting: false, heardAgoMs: 120 }],
          work: {
            servers: new Map([['engine-3', { reserved: 9, running: 1 }]]),
            crossingPerMs: 2,
          },
        },
      ],
    };
    expect(decodeHeartbeat(encodeHeartbeat(heartbeat))).toEqual(heartbeat);
  });

  it('rejects datagrams that are not heartbeats', () => {
    expect(decodeHeartbeat(Buffer.from([0xc1]))).toBeUndefined();
    expect(decodeHeartbeat(Buffer.from([0x93, 1, 2, 3]))).toBeUndefined();
  });
});
