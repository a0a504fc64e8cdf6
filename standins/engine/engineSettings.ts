/** Settings and faults of one stand-in engine. */

import type { EngineState } from '../../src/contracts/engineContract';

export interface EngineSettings {
  readonly id: string;
  readonly host?: string;
  readonly port?: number;
  readonly state: EngineState;
  /** Most layers that fit into its memory. */
  readonly maxLayers: number;
  readonly checksFencing: boolean;
  /** Duration of one decode step over its layers, milliseconds. */
  readonly stepMs: number;
  /** Time to prefill one token over its layers, milliseconds. */
  readonly prefillMsPerToken: number;
  /** Time to load weights when an order changes its layers, milliseconds. */
  readonly loadMs: number;
  /** Most concurrent streams; more are refused as overloaded. */
  readonly maxStreams: number;
  /** Whether it keeps KV of failed streams for others to import. */
  readonly exportsKv: boolean;
  /** Minimum age at which a load report is replaced, milliseconds. */
  readonly reportLagMs: number;
  /** Delay before readers see a cache event, milliseconds. */
  readonly cacheLagMs: number;
  /** Loses every n-th cache event; 0 loses none. */
  readonly cacheLoseEvery: number;
  /** Called when a fault triggers a crash; exits the process by default. */
  readonly onCrash: () => void;
}

export interface EngineFaults {
  /** Extra pause in every step, milliseconds; streams continue afterwards. */
  readonly stallMs: number;
  /** Crashes on a prompt that contains this text; empty for never. */
  readonly crashOnText: string;
  /** Added to every step, milliseconds. */
  readonly delayMs: number;
  /** Number of next frames to corrupt. */
  readonly spoilFrames: number;
  /** How frames are corrupted; see corruptFrame. */
  readonly spoilBy: 'position' | 'request' | 'workspace' | 'attempt' | 'layers' | 'repeat';
  /** Refuses new streams as overloaded. */
  readonly overloaded: boolean;
  /** Ends streams without a last frame after this many frames; 0 for never. */
  readonly cutAfterFrames: number;
}

/** No faults. */
export const NO_ENGINE_FAULTS: EngineFaults = {
  stallMs: 0,
  crashOnText: '',
  delayMs: 0,
  spoilFrames: 0,
  spoilBy: 'position',
  overloaded: false,
  cutAfterFrames: 0,
};

/** Defaults of optional settings. */
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
