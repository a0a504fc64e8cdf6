/** The faults of the soak: each begins at once and says how it is lifted. */

import type { Random } from '../../src/random/createRandom';
import type { EngineStandin } from '../../platform/standins/startEngine';
import type { GatewayProcess } from './startGatewayProcess';
import type { StoreStandin } from '../../platform/standins/startStore';

export interface SoakSite {
  readonly store: StoreStandin;
  readonly engines: readonly EngineStandin[];
  readonly gateways: readonly GatewayProcess[];
}

type Lift = () => void;

type Fault = (site: SoakSite, random: Random) => Lift;

/** Part of the servers' faults that meet plain ones. */
const PLAIN_SHARE = 0.5;

const nothing: Lift = () => undefined;

const withEngine =
  (begin: (engine: EngineStandin) => Lift): Fault =>
  ({ engines }, random) => {
    // Calls that must not repeat go to the few plain servers: they fail as often as all engines do.
    const isPlain = random.next() < PLAIN_SHARE;
    return begin(random.pick(engines.filter((engine) => engine.isPlain === isPlain)));
  };

const withGateway =
  (begin: (gateway: GatewayProcess) => Lift): Fault =>
  ({ gateways }, random) =>
    begin(random.pick(gateways));

const throughProxy = (mode: 'slow' | 'mute' | 'deaf' | 'refuse'): Fault =>
  withEngine(({ proxy }) => {
    proxy.setMode(mode);
    return () => {
      proxy.setMode('pass');
    };
  });

const inMode = (mode: 'shed' | 'lost' | 'cut'): Fault =>
  withEngine((engine) => {
    engine.setMode(mode);
    return () => {
      engine.setMode('sound');
    };
  });

const ofStore =
  (mode: 'busy' | 'mute' | 'lossy'): Fault =>
  ({ store }) => {
    store.setMode(mode);
    return () => {
      store.setMode('sound');
    };
  };

const toStore = (mode: 'slow' | 'mute' | 'deaf' | 'refuse'): Fault =>
  withGateway(({ storeProxy }) => {
    storeProxy.setMode(mode);
    return () => {
      storeProxy.setMode('pass');
    };
  });

export const SOAK_FAULTS: Readonly<Record<string, Fault>> = {
  'engine crashes': withEngine((engine) => {
    engine.crash();
    return nothing;
  }),
  'engine drains': withEngine((engine) => {
    engine.setDraining(true);
    return () => {
      engine.setDraining(false);
    };
  }),
  'engine is slow': throughProxy('slow'),
  'engine falls silent': throughProxy('mute'),
  'engine hears nothing': throughProxy('deaf'),
  'engine refuses connections': throughProxy('refuse'),
  'engine connections reset': withEngine(({ proxy }) => {
    proxy.reset();
    return nothing;
  }),
  'engine sheds': inMode('shed'),
  'engine loses answers': inMode('lost'),
  'engine cuts streams': inMode('cut'),
  'calls lose their answers everywhere': ({ engines }) => {
    const plain = engines.filter(({ isPlain }) => isPlain);
    for (const engine of plain) engine.setMode('lost');
    return () => {
      for (const engine of plain) engine.setMode('sound');
    };
  },
  'store is busy': ofStore('busy'),
  'store is silent': ofStore('mute'),
  'store loses answers of writes': ofStore('lossy'),
  'store drops its history': ({ store }) => {
    store.compact();
    return nothing;
  },
  'gateway is cut off from the store': toStore('mute'),
  'gateway hears nothing of the store': toStore('deaf'),
  'gateway is refused by the store': toStore('refuse'),
  'gateway is killed': withGateway((gateway) => {
    gateway.signal('SIGKILL');
    return nothing;
  }),
  'gateway is stopped': withGateway((gateway) => {
    gateway.signal('SIGTERM');
    return nothing;
  }),
  'gateway freezes': withGateway((gateway) => {
    gateway.signal('SIGSTOP');
    return () => {
      gateway.signal('SIGCONT');
    };
  }),
  'gateway reads its settings': withGateway((gateway) => {
    gateway.signal('SIGHUP');
    return nothing;
  }),
  'all gateways are killed': ({ gateways }) => {
    for (const gateway of gateways) gateway.signal('SIGKILL');
    return nothing;
  },
};
