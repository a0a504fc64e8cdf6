/**
 * The tokenizer for prompts that come as text: one token for each byte of the UTF-8 text, whose id
 * is the byte's value. It needs no vocabulary and loses nothing. A caller who knows the model's own
 * vocabulary sends token ids instead.
 */

/**
 * Gives the token ids of a text.
 *
 * @param text any text
 * @returns ids from 0 to 255
 */
export function encodeText(text: string): readonly number[] {
  return [...Buffer.from(text, 'utf8')];
}
