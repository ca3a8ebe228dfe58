/**
 * Schema of the settings of one process of a fleet that finds its members itself. Fields that
 * are not known here are left alone: the platform that renders the file may add some.
 */
import { readFile } from 'node:fs/promises';
import { Result } from 'true-myth';
import { z } from 'zod';
import { ShedlineError } from '@shedline/errors';

const address = z
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, 'use HOST:PORT')
  .describe('Where a process listens or connects, HOST:PORT.');
const durationMs = (defaultMs: number, text: string): z.ZodDefault<z.ZodNumber> =>
  z.number().positive().default(defaultMs).describe(`${text} Milliseconds.`);
const durationS = (defaultS: number, text: string): z.ZodDefault<z.ZodNumber> =>
  z.number().positive().default(defaultS).describe(`${text} Seconds.`);

const listenersSchema = z.object({
  caller: address.optional().describe('Where callers connect; entries only.'),
  readiness: address.optional().describe('Where the platform asks whether an entry is ready.'),
  addresses: address.optional().describe('Where callers ask for addresses of entries.'),
  control: address.optional().describe('Where endpoints and operators connect.'),
  metrics: address.optional().describe('Where counters and histograms are read.'),
});

/** Settings of one process of a fleet that finds its members itself. */
export const fleetSettingsSchema = z.object({
  instance: z.string().min(1).describe('Name of the instance, for operators.'),
  availabilityZone: z.string().min(1).describe('Availability zone of the instance.'),
  host: z.string().min(1).describe('IP number that the other processes reach the instance at.'),
  listenHost: z
    .string()
    .optional()
    .describe('IP number of the process itself, where a relay or translation stands before host.'),
  firstPeerPort: z
    .number()
    .int()
    .min(1)
    .max(65_000)
    .describe('First of the ports for traffic between processes; the same at every instance.'),
  seeds: z.array(address).describe('Addresses of control processes to join through.'),
  isFounding: z
    .boolean()
    .default(false)
    .describe('Whether the whole fleet starts for the first time, with empty disks.'),
  toleratedLosses: z
    .number()
    .int()
    .min(0)
    .max(3)
    .default(1)
    .describe('Instances with a disk that may be lost at once.'),
  dataDir: z.string().optional().describe('Folder for durable state; left out without a disk.'),
  listeners: listenersSchema.default({}),
  logLevel: z.enum(['error', 'warn', 'info', 'debug', 'silent']).default('info'),
  fleetSecret: z
    .string()
    .min(16, 'must have at least 16 characters')
    .describe('Shared secret that processes prove to each other.'),
  heartbeatMs: durationMs(1200, 'Time between the heartbeats of an endpoint.'),
  stopWithinS: durationS(8, 'Time from the request to stop to the end of the process.'),
  addressKeepS: durationS(1, 'Time for which callers keep an answer with addresses.'),
  quotaWindowS: durationS(5, 'Length of the windows in which limits of workspaces are looked at.'),
  quotaOvershootShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.1)
    .describe('Share of a limit by which a window may hold more requests.'),
  quotaSlack: z
    .number()
    .min(0)
    .default(20)
    .describe('Requests that a window may hold beyond that.'),
  jobRetentionS: durationS(300, 'Time for which a job that is over stays readable.'),
});

/** Settings with defaults filled in. */
export type FleetSettings = z.infer<typeof fleetSettingsSchema>;

/** Checks settings; the error names the field and what is accepted. */
export function checkFleetSettings(
  value: unknown,
  source: string,
): Result<FleetSettings, ShedlineError> {
  const result = fleetSettingsSchema.safeParse(value);
  if (result.success) return Result.ok(result.data);
  const issue = result.error.issues[0];
  const field = issue?.path.join('.') ?? '';
  const name = field === '' ? 'settings' : field;
  return Result.err(problem(`${source}: ${name}: ${issue?.message ?? 'not valid'}`, source));
}

/** Reads and checks a settings file. */
export async function readFleetSettings(
  file: string,
): Promise<Result<FleetSettings, ShedlineError>> {
  try {
    return checkFleetSettings(JSON.parse(await readFile(file, 'utf8')), file);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Result.err(problem(`${file}: cannot be read as JSON: ${reason}`, file));
  }
}

function problem(message: string, peer: string): ShedlineError {
  return new ShedlineError({ type: 'invalid_request', message, step: 'read settings', peer });
}
