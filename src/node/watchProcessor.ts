/**
 * Watches whether this process gets the processor time that it needs: how late its timers run, and how long callers wait
 * before their connections are accepted and their requests read. Logs such waits once a second, with the share of the
 * time in which there was work.
 */

import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import { createAcceptProbe } from '../adapters/overload/createAcceptProbe';
import type { LagMonitor } from '../gateway/createLagMonitor';
import { createLagMonitor, LAG_INTERVAL_MS } from '../gateway/createLagMonitor';
import type { LogFields } from '../gateway/job';
import { createReadDelay } from '../overload/createReadDelay';
import type { AcceptedConnection } from '../overload/createReadDelay';
import type { WorkMeasurement } from '../overload/createWorkLimit';
import type { GatewayMetrics } from './createGatewayMetrics';

export interface ProcessorWatch {
  readonly lag: LagMonitor;
  /** Estimated time that a request which is read now has waited, milliseconds; called once for each request. */
  readonly readDelayMs: (request: IncomingMessage) => number;
  /** Begins to measure. */
  readonly start: (options: ProcessorWatchStart) => void;
  readonly stop: () => void;
}

export interface ProcessorWatchStart {
  /** Server of callers, and the IP and port at which it listens. */
  readonly server: Server;
  readonly address: string;
  /** Called after each measurement. */
  readonly onMeasured: (measurement: WorkMeasurement) => void;
}

export interface ProcessorWatchOptions {
  readonly metrics: Pick<GatewayMetrics, 'gauge'>;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Delay from which requests may miss their targets, milliseconds. */
const LOGGED_DELAY_MS = 100;

const LOG_INTERVAL_MS = 1_000;

/** Share of the time with work from which connections may wait to be accepted. */
const BUSY_SHARE = 0.9;

export function watchProcessor({ metrics, now, log }: ProcessorWatchOptions): ProcessorWatch {
  const { nodeTiming } = performance;
  const lag = createLagMonitor(now);
  const idleMs = (): number => nodeTiming.idleTime;
  const delay = createReadDelay({ intervalMs: LAG_INTERVAL_MS, now, idleMs });
  /** Connections on which no request has been read. */
  const accepted = new WeakMap<Socket, AcceptedConnection>();
  let acceptDelayMs = (): number => 0;
  let maxDelayMs = 0;
  let requests = 0;
  let loggedMs = now();
  /** Share of the time with work since the last call. */
  const createMeter = (): (() => number) => {
    let lastMs = now();
    let lastIdleMs = idleMs();
    return () => {
      const share = 1 - (idleMs() - lastIdleMs) / Math.max(1, now() - lastMs);
      lastMs = now();
      lastIdleMs = idleMs();
      return share;
    };
  };
  const measureTick = createMeter();
  const measureLogged = createMeter();
  let utilization = 0;
  metrics.gauge(
    'event_loop_utilization',
    'Share of the last second in which the process had work.',
    () => utilization,
  );
  metrics.gauge('accept_delay_ms', 'Time that new connections wait until they are accepted.', () =>
    acceptDelayMs(),
  );
  const measureSecond = (): void => {
    utilization = measureLogged();
    if (Math.max(maxDelayMs, acceptDelayMs()) >= LOGGED_DELAY_MS) {
      log('requests read late', {
        requests,
        maxDelayMs: Math.round(maxDelayMs),
        acceptDelayMs: Math.round(acceptDelayMs()),
        utilization: Math.round(utilization * 100) / 100,
      });
    }
    loggedMs = now();
    maxDelayMs = 0;
    requests = 0;
  };
  let timer: NodeJS.Timeout | undefined;
  return {
    lag,
    readDelayMs: ({ socket }) => {
      const delayMs = delay.estimateMs(accepted.get(socket));
      accepted.delete(socket);
      requests += 1;
      maxDelayMs = Math.max(maxDelayMs, delayMs);
      return delayMs;
    },
    start: ({ server, address, onMeasured }) => {
      const probe = createAcceptProbe({ server, address, now, idleMs });
      acceptDelayMs = probe.delayMs;
      server.on('connection', (socket: Socket) => {
        accepted.set(socket, delay.recordAccepted(probe.delayMs()));
      });
      timer = setInterval(() => {
        lag.tick();
        delay.tick();
        const tickUtilization = measureTick();
        if (tickUtilization >= BUSY_SHARE) probe.measure();
        if (now() - loggedMs >= LOG_INTERVAL_MS) measureSecond();
        onMeasured({
          waitMs: Math.max(delay.lagMs(), probe.delayMs()),
          utilization: tickUtilization,
        });
      }, LAG_INTERVAL_MS);
    },
    stop: () => {
      clearInterval(timer);
    },
  };
}
