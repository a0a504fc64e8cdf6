/** Conversion factors between units. */

/** Milliseconds in a second. */
export const MS_PER_SECOND = 1000;

/** Microseconds in a millisecond. */
export const MICROS_PER_MS = 1000;

/** Milliseconds in a minute. */
export const MS_PER_MINUTE = 60 * MS_PER_SECOND;

/** Milliseconds in an hour. */
export const MS_PER_HOUR = 60 * MS_PER_MINUTE;

/** Bytes in a kibibyte. */
export const BYTES_PER_KIB = 1024;

/** Bytes in a mebibyte. */
export const BYTES_PER_MIB = 1024 * BYTES_PER_KIB;
