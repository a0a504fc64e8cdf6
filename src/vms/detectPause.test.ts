import { VirtualFleet } from '../../measurements/virtualFleet';

describe('detectPause', () => {
  function startFleet(): VirtualFleet {
    const network = new VirtualFleet({ nodes: 6, seed: 11 });
    network.startAll();
    network.run(3000);
    return network;
  }

  it('refuses new requests from the first event after a pause until it has a fresh answer', () => {
    const network = startFleet();
    const paused = network.vms[2];
    if (paused === undefined) throw new Error('No VM');
    const reported: [number, boolean][] = [];
    network.onEffect = (virtual, effect) => {
      if (virtual === paused && effect.type === 'accepting-changed') {
        reported.push([network.nowMs, effect.isAccepting]);
      }
    };
    network.pause(paused, 20_000);
    network.deliver(paused, { type: 'addresses-asked', call: 'a', caller: 'till-7' });
    const resumesAtMs = paused.pausedUntilMs;
    network.run(22_000);
    expect(reported.map(([, isAccepting]) => isAccepting)).toEqual([false, true]);
    expect(reported[0]?.[0]).toBe(resumesAtMs);
  });

  it('declares no VM dead for messages missed during a pause', () => {
    const network = startFleet();
    const dead: string[] = [];
    const paused = network.vms[2];
    if (paused === undefined) throw new Error('No VM');
    network.onEffect = (virtual, effect) => {
      if (virtual === paused && effect.type === 'log' && effect.message === 'VM dead') {
        dead.push(String(effect.fields.vm));
      }
    };
    network.pause(paused, 30_000);
    network.run(35_000);
    expect(dead).toEqual([]);
    expect(paused.fleet.membership.members.count(({ status }) => status === 'alive')).toBe(5);
  });

  it('ignores digests that waited in the socket during a pause, as their ages are outdated', () => {
    const network = startFleet();
    const [paused, peer] = network.vms;
    if (paused === undefined || peer === undefined) throw new Error('No VMs');
    network.commit([
      {
        type: 'put',
        kind: 'backendServer',
        key: 's1',
        value: {
          id: 's1',
          kind: 'plain',
          failureDomain: 'nbo-a',
          address: { host: '10.1.0.1', port: 80 },
          checksFencing: false,
          leaving: false,
        },
      },
    ]);
    network.run(4000);
    network.pause(paused, 10_000);
    network.run(5000);
    const [id, incarnation, version] = [peer.vm.id, peer.vm.incarnation, 0];
    network.deliver(paused, {
      type: 'datagram-received',
      from: peer.vm.addresses.gossip,
      body: {
        v: 1,
        k: 'digest',
        n: 0,
        e: [id, incarnation, version, 0, 2, 1],
        h: 1,
        s: [['s1', 0, 10, 77, 0]],
      },
    });
    network.run(5000);
    expect(paused.fleet.servers.records.get('s1')?.report).toBeUndefined();
  });
});
