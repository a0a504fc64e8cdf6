/** Faults of the fault soak. Each takes effect when it is called and returns a function that reverts it. */

import type { Random } from '../../src/random/createRandom';
import type { EngineStandin } from '../../platform/standins/engineStandin';
import type { GatewayProcess } from './startGatewayProcess';
import type { StoreStandin } from '../../platform/standins/startStore';

export interface SoakSite {
  readonly store: StoreStandin;
  readonly engines: readonly EngineStandin[];
  readonly gateways: readonly GatewayProcess[];
}

type RevertFault = () => void;

type StartFault = (site: SoakSite, random: Random) => RevertFault;

/** Share of the backend server faults that affect plain servers. */
const PLAIN_SERVER_SHARE = 0.5;

const noop: RevertFault = () => undefined;

const createEngineFault =
  (begin: (engine: EngineStandin) => RevertFault): StartFault =>
  ({ engines }, random) => {
    // Calls that must not be repeated go to the plain servers. These are few, so they are picked as often as
    // all engines together.
    const isPlain = random.next() < PLAIN_SERVER_SHARE;
    return begin(random.pick(engines.filter((engine) => engine.isPlain === isPlain)));
  };

const createGatewayFault =
  (begin: (gateway: GatewayProcess) => RevertFault): StartFault =>
  ({ gateways }, random) =>
    begin(random.pick(gateways));

const createEngineProxyFault = (mode: 'slow' | 'mute' | 'deaf' | 'refuse'): StartFault =>
  createEngineFault(({ proxy }) => {
    proxy.setMode(mode);
    return () => {
      proxy.setMode('pass');
    };
  });

/** Limits of a short silence, in which nothing is lost. */
const MIN_SILENCE_MS = 500;
const MAX_SILENCE_MS = 2_000;

/** Ends by itself, so that no silence lasts longer than its limit. */
function holdForMoment(engines: readonly EngineStandin[], random: Random): RevertFault {
  for (const { proxy } of engines) proxy.setMode('hold');
  const silenceMs = MIN_SILENCE_MS + random.next() * (MAX_SILENCE_MS - MIN_SILENCE_MS);
  setTimeout(() => {
    for (const { proxy } of engines) proxy.setMode('pass');
  }, silenceMs);
  return noop;
}

const createGroupSilence =
  (isPlain: boolean): StartFault =>
  ({ engines }, random) => {
    const group = engines.filter((engine) => engine.isPlain === isPlain);
    const firstHeld = random.integer(group.length);
    const ordered = [...group.slice(firstHeld), ...group.slice(0, firstHeld)];
    return holdForMoment(ordered.slice(0, Math.ceil(group.length / 2)), random);
  };

const createEngineModeFault = (mode: 'shed' | 'lost' | 'cut'): StartFault =>
  createEngineFault((engine) => {
    engine.setMode(mode);
    return () => {
      engine.setMode('sound');
    };
  });

const createStoreFault =
  (mode: 'busy' | 'mute' | 'lossy'): StartFault =>
  ({ store }) => {
    store.setMode(mode);
    return () => {
      store.setMode('sound');
    };
  };

const createStoreProxyFault = (mode: 'slow' | 'mute' | 'deaf' | 'refuse'): StartFault =>
  createGatewayFault(({ storeProxy }) => {
    storeProxy.setMode(mode);
    return () => {
      storeProxy.setMode('pass');
    };
  });

export const SOAK_FAULTS: Readonly<Record<string, StartFault>> = {
  'engine crashes': createEngineFault((engine) => {
    engine.crash();
    return noop;
  }),
  'engine drains': createEngineFault((engine) => {
    engine.setDraining(true);
    return () => {
      engine.setDraining(false);
    };
  }),
  'engine is slow': createEngineProxyFault('slow'),
  'engine falls silent': createEngineProxyFault('mute'),
  'engine falls silent for a moment': ({ engines }, random) =>
    holdForMoment([random.pick(engines.filter(({ isPlain }) => !isPlain))], random),
  'engines fall silent for a moment': createGroupSilence(false),
  'plain servers fall silent for a moment': createGroupSilence(true),
  'engine hears nothing': createEngineProxyFault('deaf'),
  'engine refuses connections': createEngineProxyFault('refuse'),
  'engine connections reset': createEngineFault((engine) => {
    engine.reset();
    return noop;
  }),
  'engine sheds': createEngineModeFault('shed'),
  'engine loses answers': createEngineModeFault('lost'),
  'engine cuts streams': createEngineModeFault('cut'),
  'calls lose their answers everywhere': ({ engines }) => {
    const plain = engines.filter(({ isPlain }) => isPlain);
    for (const engine of plain) engine.setMode('lost');
    return () => {
      for (const engine of plain) engine.setMode('sound');
    };
  },
  'store is busy': createStoreFault('busy'),
  'store is silent': createStoreFault('mute'),
  'store loses answers of writes': createStoreFault('lossy'),
  'store drops its history': ({ store }) => {
    store.compact();
    return noop;
  },
  'gateway is cut off from the store': createStoreProxyFault('mute'),
  'gateway hears nothing of the store': createStoreProxyFault('deaf'),
  'gateway is refused by the store': createStoreProxyFault('refuse'),
  'gateway is killed': createGatewayFault((gateway) => {
    gateway.signal('SIGKILL');
    return noop;
  }),
  'gateway is stopped': createGatewayFault((gateway) => {
    gateway.signal('SIGTERM');
    return noop;
  }),
  'gateway freezes': createGatewayFault((gateway) => {
    gateway.signal('SIGSTOP');
    return () => {
      gateway.signal('SIGCONT');
    };
  }),
  'gateway reads its settings': createGatewayFault((gateway) => {
    gateway.signal('SIGHUP');
    return noop;
  }),
  'all gateways are killed': ({ gateways }) => {
    for (const gateway of gateways) gateway.signal('SIGKILL');
    return noop;
  },
};
