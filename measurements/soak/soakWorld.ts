/** Everything that a run consists of, in one mutable object under a virtual clock. */

import type { Row } from '../../src/contracts/table';
import type { SoakCall } from './soakCall';
import type {
  NodeEvent,
  ComponentEffects,
  ComponentEvents,
  ComponentName,
} from '../../src/node/nodeMessage';
import type { CombinedState, ComponentReducers } from '../../src/node/createNodeReducer';
import type { OperationsState } from '../../src/operations/operationsState';
import type { Fleet } from '../../src/vms/fleet';
import type { Vm } from '../../src/vms/vm';
import type { Plans } from '../../src/plans/planState';
import type { Random } from '../../src/random/createRandom';
import type { Router } from '../../src/requests/router';
import type { Findings } from './findings';
import type { PlainRun, SoakEngine, SoakServer } from './soakServer';

/** The sides of a node, as the daemon joins them. */
export type SoakSides = ComponentReducers<Router, OperationsState, Fleet, Plans>;

export type SoakState = CombinedState<Router, OperationsState, Fleet, Plans>;

/** Changes the sides of a node: how a test breaks a rule on purpose. */
export type BreakSides = (sides: SoakSides) => SoakSides;

/** One life of a VM. */
export interface SoakNode {
  readonly index: number;
  readonly vm: Vm;
  readonly startedAtMs: number;
  readonly reduce: (
    state: SoakState,
    event: NodeEvent,
  ) => { state: SoakState; effects: readonly SoakEffect[] };
  state: SoakState;
  isUp: boolean;
  pausedUntilMs: number;
  isDraining: boolean;
  isHandedOver: boolean;
  isDrained: boolean;
  /** Takes no more connections. */
  isClosing: boolean;
  readonly timers: Map<string, number>;
  /** Who waits for the answer to a call. */
  readonly waiting: Map<string, (answer: unknown) => void>;
  /** Revision that it had in force last. */
  revision: number;
}

/** An effect for the shell. */
export type SoakEffect = {
  readonly [Side in ComponentName]: {
    readonly side: Side;
    readonly effect: ComponentEffects[Side];
  };
}[ComponentName];

/** An event without its occurrence. */
export type Untimed = {
  readonly [Side in ComponentName]: {
    readonly side: Side;
    readonly event: DistributiveOmit<ComponentEvents[Side]>;
  };
}[ComponentName];

type DistributiveOmit<Event> = Event extends unknown ? Omit<Event, 'atMs' | 'seed'> : never;

/** A caller's ticket. */
export interface HeldTicket {
  readonly ticket: string;
  readonly home: number;
  sequence: number;
  /** Calls that will still be numbered under it. */
  left: number;
}

export interface World {
  nowMs: number;
  /** Events that nodes have handled. */
  events: number;
  readonly random: Random;
  readonly findings: Findings;
  readonly nodes: SoakNode[];
  readonly rows: Map<string, Row>;
  readonly servers: ReadonlyMap<string, SoakServer>;
  readonly engines: ReadonlyMap<string, SoakEngine>;
  readonly runs: PlainRun[];
  readonly calls: SoakCall[];
  /** Ticket that each caller numbers its calls under. */
  readonly tickets: Map<number, HeldTicket>;
  /** Requests of which an engine ran something. */
  readonly started: Set<string>;
  /** `request/attempt` of cancelled streams. */
  readonly cancelled: Set<string>;
  readonly breakSides: BreakSides;
  /** Results that each VM remembers. */
  readonly remembered: number;
  /** Fault windows that end at a time, milliseconds. */
  readonly until: {
    storeDown: number;
    storeLossy: number;
    slowNetwork: number;
    partition: number;
    storeCut: number;
  };
  /** Nodes on the one side of the partition, and those that the store cut hits. */
  cutNodes: ReadonlySet<number>;
  storeCutNodes: ReadonlySet<number>;
  nextId: number;
  readonly schedule: (afterMs: number, run: () => void) => void;
  /** Notes a line of the trace; kept only while a failure is shrunk. */
  readonly trace: (line: string) => void;
}
