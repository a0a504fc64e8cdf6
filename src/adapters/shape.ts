/** Type of a schema shape that must list every property of a type. */

import type { z } from 'zod';

/**
 * Schemas drop properties that they do not list. With `{ ... } satisfies Shape<Type>`, a shape that
 * omits a property, even an optional one, does not compile.
 */
export type Shape<Type> = Readonly<Record<keyof Type, z.ZodType>>;
