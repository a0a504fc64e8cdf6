/**
 * The stand-in model. A token depends on the entire sequence before it and on every layer in order, so
 * a layer that is skipped, repeated or out of order changes the answer.
 */

import { hash32 } from '../../src/hashing/hash32';
import type { LayerRange } from '../../src/engines/engine';

/** Activations between two layers of the stand-in model. */
export type Activation = number;

/** Computes the input of the first layer: a digest of the model and the sequence so far. */
export function embedSequence(model: string, sequence: readonly number[]): Activation {
  return hash32(sequence.join(','), hash32(model));
}

/** Runs layers `[from, to)`; they do not commute. */
export function runLayers(activation: Activation, layers: LayerRange): Activation {
  let value = activation;
  for (let layer = layers.from; layer < layers.to; layer += 1) {
    value = Math.imul(value ^ (layer + 1), 0x9e3779b1) >>> 0;
    value = (value ^ (value >>> 15)) >>> 0;
  }
  return value;
}

/** The model writes `a` to `z` and a space. */
const ALPHABET_SIZE = 27;
/** On average, one token in this many ends the answer. */
const STOP_INTERVAL_TOKENS = 211;

/** A token decoded from the last layer's activation. */
export interface ModelToken {
  readonly token: number;
  readonly text: string;
  readonly isStop: boolean;
}

/** Decodes a token, one byte of text, from the last layer's activation. */
export function decodeToken(activation: Activation): ModelToken {
  const letter = activation % ALPHABET_SIZE;
  const token = letter === ALPHABET_SIZE - 1 ? 32 : 97 + letter;
  return {
    token,
    text: String.fromCharCode(token),
    isStop: activation % STOP_INTERVAL_TOKENS === 0,
  };
}

/** Computes the answer of the complete model; tests and the demo compare answers with it. */
export function computeAnswer(
  model: { readonly id: string; readonly layers: number },
  prompt: readonly number[],
  maxTokens: number,
): string {
  const sequence = [...prompt];
  let text = '';
  for (let position = 0; position < maxTokens; position += 1) {
    const embedded = embedSequence(model.id, sequence);
    const token = decodeToken(runLayers(embedded, { from: 0, to: model.layers }));
    sequence.push(token.token);
    text += token.text;
    if (token.isStop) break;
  }
  return text;
}
