/** What every measurement takes and gives. */

/** Options from the command line; each measurement reads the ones it knows. */
export interface MeasurementOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly engines: number;
  readonly workspaces: number;
}

/** Prints a readable account through `print` and gives the figures of the last JSON line. */
export type Measurement = (
  options: MeasurementOptions,
  print: (line: string) => void,
) => Promise<Readonly<Record<string, unknown>>>;
