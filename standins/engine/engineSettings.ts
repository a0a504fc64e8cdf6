/** Settings and faults of one stand-in engine. */

import type { EngineState } from '../../src/contracts/engineContract';

export interface EngineSettings {
  readonly id: string;
  readonly host?: string;
  readonly port?: number;
  readonly state: EngineState;
  /** Most layers that its memory holds. */
  readonly maxLayers: number;
  readonly checksFencing: boolean;
  /** Time of one decode step over its layers, milliseconds. */
  readonly stepMs: number;
  /** Time to prefill one token over its layers, milliseconds. */
  readonly prefillMsPerToken: number;
  /** Time to load weights when an order changes its layers, milliseconds. */
  readonly loadMs: number;
  /** Streams that it runs at once; more are refused as overloaded. */
  readonly maxStreams: number;
  /** Whether it keeps KV of failed streams for others to import. */
  readonly exportsKv: boolean;
  /** Age of its load reports, milliseconds. */
  readonly reportLagMs: number;
  /** Age at which cache events are seen, milliseconds. */
  readonly cacheLagMs: number;
  /** Every so many-th cache event is lost; 0 loses none. */
  readonly cacheLoseEvery: number;
  /** Called when a fault asks for a crash; as a process it exits. */
  readonly onCrash: () => void;
}

export interface EngineFaults {
  /** Stops between two tokens for this long, milliseconds; streams go on afterwards. */
  readonly stallMs: number;
  /** Crashes when it runs a prompt whose text holds this. */
  readonly crashOnText: string;
  /** Added to every step, milliseconds. */
  readonly delayMs: number;
  /** How many of the next frames are spoilt, and how. */
  readonly spoilFrames: number;
  readonly spoilBy: 'position' | 'request' | 'workspace' | 'attempt' | 'layers' | 'repeat';
  /** Refuses new streams as overloaded. */
  readonly overloaded: boolean;
  /** Ends streams without a last frame after this many frames; 0 is never. */
  readonly cutAfterFrames: number;
}

/** An engine in good order. */
export const NO_ENGINE_FAULTS: EngineFaults = {
  stallMs: 0,
  crashOnText: '',
  delayMs: 0,
  spoilFrames: 0,
  spoilBy: 'position',
  overloaded: false,
  cutAfterFrames: 0,
};

/** What an engine takes where its settings say nothing. */
export const ENGINE_DEFAULTS = {
  maxLayers: 1000,
  checksFencing: true,
  stepMs: 2,
  prefillMsPerToken: 0.05,
  loadMs: 50,
  maxStreams: 64,
  exportsKv: true,
  reportLagMs: 200,
  cacheLagMs: 100,
  cacheLoseEvery: 10,
} as const;
