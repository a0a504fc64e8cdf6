/** A model cut into layers, and what its engines need to hold and run them. */

/** A kind of accelerator. */
export interface EngineKind {
  readonly name: string;
  /** Memory for weights and requests, MB. */
  readonly memoryMb: number;
  /** Time of a decoding step against the reference kind. */
  readonly stepFactor: number;
}

/** Figures of the reference kind where it runs all layers. */
export interface PipelineModel {
  readonly name: string;
  readonly layers: number;
  /** Weights of one layer, MB. */
  readonly layerMb: number;
  /** Memory that one token of a request takes on one layer, MB. */
  readonly tokenLayerMb: number;
  /** Fixed part of a decoding step, milliseconds. */
  readonly stepMs: number;
  /** Mean tokens of a prompt. */
  readonly usualPromptTokens: number;
  /** Mean tokens of an answer. */
  readonly usualAnswerTokens: number;
  /** Time to load all layers onto one engine, milliseconds. */
  readonly loadMs: number;
  /** One-way delay between two failure domains, milliseconds. */
  readonly domainDelayMs: number;
  /** Activations of one token between two engines, bytes. */
  readonly activationBytes: number;
  /** Bandwidth between two failure domains, which all requests share, bytes in a millisecond. */
  readonly domainBytesPerMs: number;
  readonly kinds: ReadonlyMap<string, EngineKind>;
}
