/**
 * Schema of the settings of one process of a fleet with dynamic membership. Unknown fields are
 * ignored, because the platform that renders the file may add some.
 */
import { readFile } from 'node:fs/promises';
import { Result } from 'true-myth';
import { z } from 'zod';
import { ShedlineError } from '@shedline/errors';

const address = z
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, 'use HOST:PORT')
  .describe('Address to listen on or to connect to, HOST:PORT.');
const durationMs = (defaultMs: number, text: string): z.ZodDefault<z.ZodNumber> =>
  z.number().positive().default(defaultMs).describe(`${text} Milliseconds.`);
const durationS = (defaultS: number, text: string): z.ZodDefault<z.ZodNumber> =>
  z.number().positive().default(defaultS).describe(`${text} Seconds.`);

const listenersSchema = z.object({
  caller: address.optional().describe('Address for callers; entries only.'),
  readiness: address.optional().describe('Address of the readiness check of an entry.'),
  addresses: address
    .optional()
    .describe('Address at which callers request the addresses of entries.'),
  control: address.optional().describe('Address for endpoints and operators.'),
  metrics: address.optional().describe('Address of the metrics.'),
});

/** Settings of one process of a fleet with dynamic membership. */
export const fleetSettingsSchema = z.object({
  instance: z.string().min(1).describe('Name of the instance, for operators.'),
  availabilityZone: z.string().min(1).describe('Availability zone of the instance.'),
  host: z.string().min(1).describe('IP address at which other processes reach the instance.'),
  listenHost: z
    .string()
    .optional()
    .describe('IP address that the process listens on, if host belongs to a proxy or NAT.'),
  firstPeerPort: z
    .number()
    .int()
    .min(1)
    .max(65_000)
    .describe('First port for traffic between processes; the same at every instance.'),
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
    .describe('Instances with a disk that may be lost simultaneously.'),
  dataDir: z.string().optional().describe('Directory for durable state; omitted without a disk.'),
  listeners: listenersSchema.default({}),
  logLevel: z.enum(['error', 'warn', 'info', 'debug', 'silent']).default('info'),
  fleetSecret: z
    .string()
    .min(16, 'must have at least 16 characters')
    .describe('Shared secret that processes prove to each other.'),
  heartbeatMs: durationMs(1200, 'Time between the heartbeats of an endpoint.'),
  stopWithinS: durationS(8, 'Maximum time from a stop request to the exit of the process.'),
  addressKeepS: durationS(1, 'Time for which callers cache the addresses of entries.'),
  quotaWindowS: durationS(5, 'Length of the windows in which limits of workspaces are checked.'),
  quotaOvershootShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.1)
    .describe('Share of a limit by which the requests of a window may exceed it.'),
  quotaSlack: z
    .number()
    .min(0)
    .default(20)
    .describe('Additional requests of a window beyond quotaOvershootShare.'),
  jobRetentionS: durationS(300, 'Time for which an ended job stays readable.'),
});

/** Settings with defaults filled in. */
export type FleetSettings = z.infer<typeof fleetSettingsSchema>;

/** Checks settings; the error names the invalid field and the accepted values. */
export function checkFleetSettings(
  value: unknown,
  source: string,
): Result<FleetSettings, ShedlineError> {
  // Settings are checked once per start; generating and compiling code for it costs more.
  const result = fleetSettingsSchema.safeParse(value, { jitless: true });
  if (result.success) return Result.ok(result.data);
  const issue = result.error.issues[0];
  const field = issue?.path.join('.') ?? '';
  const name = field === '' ? 'settings' : field;
  return Result.err(problem(`${source}: ${name}: ${issue?.message ?? 'not valid'}`, source));
}

/** Reads and checks a settings file; the error names the file. */
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
