/**
 * The stand-in model. A token depends on the whole sequence before it and on every layer, in order,
 * so that a layer left out, repeated or run out of turn changes the answer.
 */

import { hash32 } from '../../src/hashing/hash32';
import type { LayerRange } from '../../src/engines/engine';

/** Activations between two layers of the stand-in model. */
export type Activation = number;

/** First layer's input: a digest of the model and the sequence so far. */
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

/** Letters that the model writes: `a` to `z`, and a space. */
const LETTERS = 27;
/** One answer in this many tokens stops by itself. */
const STOP_EVERY = 211;

/** The token that the last layer's activations stand for. */
export interface ModelToken {
  readonly token: number;
  readonly text: string;
  readonly stops: boolean;
}

/** Reads a token, a byte of text, off the last activations. */
export function readToken(activation: Activation): ModelToken {
  const letter = activation % LETTERS;
  const token = letter === LETTERS - 1 ? 32 : 97 + letter;
  return { token, text: String.fromCharCode(token), stops: activation % STOP_EVERY === 0 };
}

/** What the whole model would answer; tests and the demo check answers against it. */
export function computeAnswer(
  model: { readonly id: string; readonly layers: number },
  prompt: readonly number[],
  maxTokens: number,
): string {
  const sequence = [...prompt];
  let text = '';
  for (let position = 0; position < maxTokens; position += 1) {
    const embedded = embedSequence(model.id, sequence);
    const token = readToken(runLayers(embedded, { from: 0, to: model.layers }));
    sequence.push(token.token);
    text += token.text;
    if (token.stops) break;
  }
  return text;
}
