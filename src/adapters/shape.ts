/** The shape of a schema that has to name every property of a type. */

import type { z } from 'zod';

/**
 * Schemas drop properties that they don't name. Written as `{ ... } satisfies Shape<Type>`, a shape
 * that leaves one out does not compile, optional ones included.
 */
export type Shape<Type> = Readonly<Record<keyof Type, z.ZodType>>;
