import { VirtualFleet } from '../../measurements/virtualFleet';
import type { VirtualVm } from '../../measurements/virtualVm';
import type { FleetEffect } from './fleetMessage';

function startPair(): { network: VirtualFleet; first: VirtualVm; second: VirtualVm } {
  const network = new VirtualFleet({ nodes: 2, seed: 41 });
  network.startAll();
  network.run(3000);
  const [first, second] = network.vms;
  if (first === undefined || second === undefined) throw new Error('No VMs');
  return { network, first, second };
}

function receive(body: unknown): { effects: readonly FleetEffect[]; first: VirtualVm } {
  const { network, first, second } = startPair();
  const effects: FleetEffect[] = [];
  network.onEffect = (virtual, effect) => {
    if (virtual === first) effects.push(effect);
  };
  const from = second.vm.addresses.gossip;
  network.deliver(first, { type: 'datagram-received', from, body });
  return { effects, first };
}

function entryOf(index: number): readonly unknown[] {
  return [`vm-${index}`, 1_700_000_000_001, 1, 0, 2, 0];
}

describe('handleDatagram', () => {
  it.each([
    undefined,
    null,
    'text',
    {},
    { v: 1, k: 'ping', n: 1, h: 0 },
    { v: 1, k: 'ping', n: -1, h: 0, e: entryOf(1) },
    { v: 1, k: 'ping', n: 1, h: 0, e: ['vm-1', 'soon', 0, 0, 0, 0] },
    {
      v: 1,
      k: 'ping',
      n: 1,
      h: 0,
      e: entryOf(1),
      m: Array.from({ length: 500 }, () => entryOf(1)),
    },
  ])('drops and counts malformed datagrams: %j', (body) => {
    const { effects } = receive(body);
    expect(effects).toEqual([
      { type: 'count', counter: 'datagrams_dropped', by: 1, labels: { reason: 'malformed' } },
    ]);
  });

  it('drops a datagram that claims to come from itself', () => {
    const { effects } = receive({ v: 1, k: 'news', n: 0, h: 0, e: entryOf(0) });
    expect(effects).toEqual([
      { type: 'count', counter: 'datagrams_dropped', by: 1, labels: { reason: 'own' } },
    ]);
  });

  it('answers a newer version with additional fields and longer tuples', () => {
    const newer = {
      v: 9,
      k: 'ping',
      n: 77,
      h: 0,
      e: [...entryOf(1), 'more'],
      s: [['engine-1', 0, 5, 1, 0, 1, 1, 1, 1, 1, 1, 1, 'more']],
      unheard: { of: true },
    };
    const { effects } = receive(newer);
    const answer = effects.find((effect) => effect.type === 'send-datagram');
    expect(answer?.body).toMatchObject({ v: 1, k: 'ack', n: 77 });
  });

  it('merges the entries of a datagram of an unknown kind, and counts it', () => {
    const { effects, first } = receive({
      v: 2,
      k: 'novel',
      n: 0,
      h: 0,
      e: [...entryOf(1)].with(2, 5),
    });
    expect(effects).toContainEqual({
      type: 'count',
      counter: 'datagrams_dropped',
      by: 1,
      labels: { reason: 'unknown-kind' },
    });
    expect(first.fleet.membership.members.get('vm-1')?.version).toBe(5);
  });

  it('refutes a suspicion of itself immediately, with a higher version', () => {
    const accusation = ['vm-0', 1_700_000_000_001, 40, 1, 2, 0];
    const { effects, first } = receive({
      v: 1,
      k: 'news',
      n: 0,
      h: 0,
      e: entryOf(1),
      m: [accusation],
    });
    expect(first.fleet.membership.version).toBe(41);
    const answer = effects.find((effect) => effect.type === 'send-datagram');
    expect(answer?.body).toMatchObject({ e: ['vm-0', 1_700_000_000_001, 41, 0, 2, 0] });
  });
});
