/**
 * Tokenizer for text prompts: each byte of the UTF-8 text becomes one token, whose id is the byte's
 * value. It needs no vocabulary and is lossless. A caller that knows the model's own vocabulary sends
 * token ids instead.
 */

/**
 * Returns the token ids of a text.
 *
 * @param text the text to tokenize
 * @returns ids from 0 to 255
 */
export function encodeText(text: string): readonly number[] {
  return [...Buffer.from(text, 'utf8')];
}
