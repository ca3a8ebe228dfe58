/**
 * Schema of the settings of one instance. Every field has its unit, default and documentation here;
 * the JSON Schema file is generated from this schema.
 */
import { z } from 'zod';

const name = z
  .string()
  .regex(/^[a-zA-Z0-9][a-zA-Z0-9-]{0,62}$/, 'use letters, digits and hyphens')
  .describe('Name of an instance; unique in the fleet.');
const host = z.string().min(1).describe('IP address to listen on or to connect to.');
const port = z.number().int().min(0).max(65535).describe('TCP port.');
const durationMs = (defaultMs: number, text: string): z.ZodDefault<z.ZodNumber> =>
  z.number().positive().default(defaultMs).describe(`${text} Milliseconds.`);

const peerSchema = z.strictObject({
  name,
  host,
  port,
  availabilityZone: z.string().min(1).optional().describe('Availability zone of the peer.'),
});

const tokenSchema = z.strictObject({
  role: z.enum(['caller', 'operator', 'endpoint']).describe('Permissions of the token.'),
  workspace: z.string().optional().describe('Workspace of a caller token.'),
  tokenSha256: z
    .string()
    .regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits; see `shedline settings hash-token`')
    .describe('SHA-256 of the token; the token itself is never stored.'),
});

const controlSchema = z.strictObject({
  listenHost: host.default('127.0.0.1'),
  listenPort: port.default(7500),
  dataDir: z
    .string()
    .min(1)
    .describe('Directory for the durable state; used by one instance only.'),
  peers: z.array(peerSchema).describe('All control instances of the fleet, this one included.'),
  bootstrapMembers: z
    .array(name)
    .min(1)
    .describe('Names of the control instances that form the cluster initially.'),
  jobGroupCount: z
    .number()
    .int()
    .min(1)
    .max(1024)
    .default(4)
    .describe('Consensus groups for jobs and call keys; fixed when the cluster is formed.'),
  voterCount: z.number().int().min(1).max(7).default(5).describe('Voters wanted in each group.'),
  electionTimeoutMs: durationMs(700, 'Time without a message from the leader before an election.'),
  heartbeatIntervalMs: durationMs(150, 'Time between heartbeats of a leader.'),
  replaceAfterMs: durationMs(
    60_000,
    'Time without a message from a voter before it is replaced or removed.',
  ),
  itemLeaseMs: durationMs(6000, 'Lease of the batch items of an entry, if it is not renewed.'),
  jobRetentionMs: durationMs(7 * 86_400_000, 'Time for which an ended job stays readable.'),
  callRetentionMs: durationMs(86_400_000, 'Time for which the key of a call is stored.'),
  orderLeaseMs: durationMs(3000, 'Lease of the instance that gives orders to endpoints.'),
  orderTimeoutMs: durationMs(2000, 'Maximum time for which an order is in progress.'),
  weightStoreLoadsAtOnce: z
    .number()
    .int()
    .positive()
    .default(4)
    .describe('Model loads that the weight store serves concurrently.'),
  snapshotAfterBytes: z
    .number()
    .positive()
    .default(8 * 1024 * 1024)
    .describe('Log bytes of a group after which a snapshot is taken.'),
});

const entrySchema = z.strictObject({
  listenHost: host.default('127.0.0.1'),
  listenPort: port.default(7400),
  publicUrl: z
    .string()
    .optional()
    .describe('Address that is given to callers; default: http://listenHost:listenPort.'),
  peerListenPort: port.default(7450).describe('Port for the other entries.'),
  peers: z.array(peerSchema).default([]).describe('All entries of the fleet.'),
  controls: z.array(peerSchema).describe('All control instances of the fleet.'),
  keepForMs: durationMs(5000, 'Time for which callers cache a response of `addresses`.'),
  tableRefreshIntervalMs: durationMs(500, 'Interval of polling the table.'),
  staleAfterMs: durationMs(
    10_000,
    'Age of the table from which a partitioned entry refuses requests.',
  ),
  endpointLeaseMs: durationMs(3000, 'Time for which an announcement of an endpoint is valid.'),
  maxBodyBytes: z
    .number()
    .int()
    .positive()
    .default(4 * 1024 * 1024)
    .describe('Largest body of an online request. Bytes.'),
  maxChunkBytes: z
    .number()
    .int()
    .positive()
    .default(64 * 1024 * 1024)
    .describe('Largest chunk of items. Bytes.'),
  maxItemBytes: z
    .number()
    .int()
    .positive()
    .default(256 * 1024)
    .describe('Largest batch item. Bytes.'),
  observersPerEndpoint: z
    .number()
    .int()
    .positive()
    .default(12)
    .describe('Entries that observe the full load of one endpoint.'),
  batchDial: z
    .number()
    .min(0)
    .max(1)
    .default(0.8)
    .describe('Trade-off from 0 (lowest online latency) to 1 (highest batch throughput).'),
  drainTimeoutMs: durationMs(30_000, 'Maximum wait for running requests at a planned stop.'),
});

/** Settings of one instance. */
export const settingsSchema = z.strictObject({
  name,
  availabilityZone: z.string().min(1).describe('Availability zone of the instance.'),
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug', 'silent'])
    .default('info')
    .describe('Lowest level that is logged.'),
  instanceSecret: z
    .string()
    .min(16, 'must have at least 16 characters')
    .describe('Shared secret that instances prove to each other; also signs sessions.'),
  tokens: z.array(tokenSchema).default([]).describe('Bearer tokens, hashed.'),
  control: controlSchema.optional().describe('Set on instances that run `shedline control`.'),
  entry: entrySchema.optional().describe('Set on instances that run `shedline entry`.'),
});

/** Settings of one instance, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
/** Settings of the control role. */
export type ControlSettings = z.infer<typeof controlSchema>;
/** Settings of the entry role. */
export type EntrySettings = z.infer<typeof entrySchema>;
/** The address of a peer instance. */
export type PeerSettings = z.infer<typeof peerSchema>;
/** A bearer token and its permissions. */
export type TokenSettings = z.infer<typeof tokenSchema>;
