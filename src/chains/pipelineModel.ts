/** A model split into layers, and the resources that its engines need to hold and run them. */

/** A kind of accelerator. */
export interface EngineKind {
  readonly name: string;
  /** Memory for weights and requests, MB. */
  readonly memoryMb: number;
  /** Time of a decoding step as a multiple of the reference kind's. */
  readonly stepFactor: number;
}

/** A model; times are those of the reference kind when it runs all layers. */
export interface PipelineModel {
  readonly name: string;
  readonly layers: number;
  /** Weights of one layer, MB. */
  readonly layerMb: number;
  /** Memory for one token of a request on one layer, MB. */
  readonly tokenLayerMb: number;
  /** Fixed part of a decoding step, milliseconds. */
  readonly stepMs: number;
  /** Mean tokens of a prompt. */
  readonly meanPromptTokens: number;
  /** Mean tokens of an answer. */
  readonly meanAnswerTokens: number;
  /** Time to load all layers onto one engine, milliseconds. */
  readonly loadMs: number;
  /** One-way delay between two failure domains, milliseconds. */
  readonly domainDelayMs: number;
  /** Size of the activations of one token sent between two engines, bytes. */
  readonly activationBytes: number;
  /** Bandwidth between two failure domains, shared by all requests, bytes per millisecond. */
  readonly domainBytesPerMs: number;
  readonly kinds: ReadonlyMap<string, EngineKind>;
}
