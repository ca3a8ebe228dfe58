/**
 * `/v1/jobs`: HTTP handlers for batch jobs.
 */
import { once } from 'node:events';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { z } from 'zod';
import type { ControlClient } from '@shedline/control-client';
import { ShedlineError } from '@shedline/errors';
import { groupOfJobId, jobIdOf } from '@shedline/jobs';
import type { JobAnswer, JobGroupAnswer, Refusal, ResultLine } from '@shedline/jobs';
import type { JobView } from '@shedline/types';
import { invalid, notFound, queryWholeNumber, readBody, readJson } from './http-support.js';
import type { EntryHttpContext } from './http-support.js';
import { readItemParts } from './job-upload.js';
import type { TableReader } from './table-reader.js';

const createSchema = z.strictObject({
  service: z.string().min(1),
  jobKey: z.string().min(1).max(512),
  dueAtMs: z.number().int().positive(),
  idempotent: z.boolean().optional(),
});
const sealSchema = z.strictObject({ itemCount: z.number().int().min(0) });

const SMALL_BODY_BYTES = 64 * 1024;
const RESULT_PAGE_BYTES = 256 * 1024;

/** Options of {@link JobsApi}. */
export interface JobsApiOptions {
  readonly control: ControlClient;
  readonly reader: TableReader;
  readonly maxChunkBytes: number;
  readonly maxItemBytes: number;
}

/** Handles requests about batch jobs. */
export class JobsApi {
  private readonly options: JobsApiOptions;

  constructor(options: JobsApiOptions) {
    this.options = options;
  }

  /** `POST /v1/jobs` */
  async create(c: EntryHttpContext, workspace: string): Promise<Response> {
    const body = await readJson(c, createSchema, SMALL_BODY_BYTES);
    const service = this.serviceOf(body.service, workspace);
    const row = await this.options.reader.row(`${workspace}/${service}`);
    if (row === undefined) throw notFound(`service: there is no service ${body.service}`);
    const { control } = this.options;
    const { jobKey, dueAtMs } = body;
    const group = await control.groupOfKey(JSON.stringify([workspace, jobKey]));
    const reply = await control.proposeJob(group, {
      type: 'createJob',
      jobId: jobIdOf(group, workspace, jobKey),
      workspace,
      service,
      jobKey,
      dueAtMs,
      idempotent: body.idempotent ?? row.idempotent,
      pastDue: row.pastDue,
    });
    const { created, job } = unwrapJobAnswer(reply);
    return c.json(job, created ? 201 : 200);
  }

  /** `PUT /v1/jobs/:id/items?from=N` */
  async putItems(c: EntryHttpContext, workspace: string): Promise<Response> {
    const { jobId, group } = this.jobFromPath(c);
    const fromIndex = queryWholeNumber(c, 'from');
    const body = await readBody(c.env.incoming, this.options.maxChunkBytes);
    const { maxItemBytes, control } = this.options;
    const parts = await readItemParts({ body, fromIndex, maxItemBytes });
    let job = await control.job(group, jobId, workspace);
    if (job === undefined) throw notFound(`there is no job ${jobId}`);
    for (const part of parts) {
      const command = { type: 'putItems', jobId, workspace, ...part } as const;
      job = unwrapJobAnswer(await control.proposeJob(group, command)).job;
    }
    return c.json({ jobId, received: job.received });
  }

  /** `POST /v1/jobs/:id/seal` */
  async seal(c: EntryHttpContext, workspace: string): Promise<Response> {
    const { jobId, group } = this.jobFromPath(c);
    const { itemCount } = await readJson(c, sealSchema, SMALL_BODY_BYTES);
    const command = { type: 'sealJob', jobId, workspace, itemCount } as const;
    return c.json(unwrapJobAnswer(await this.options.control.proposeJob(group, command)).job);
  }

  /** `POST /v1/jobs/:id/cancel` */
  async cancel(c: EntryHttpContext, workspace: string): Promise<Response> {
    const { jobId, group } = this.jobFromPath(c);
    const command = { type: 'cancelJob', jobId, workspace } as const;
    return c.json(unwrapJobAnswer(await this.options.control.proposeJob(group, command)).job);
  }

  /** `GET /v1/jobs/:id` */
  async get(c: EntryHttpContext, workspace: string): Promise<Response> {
    const { jobId, group } = this.jobFromPath(c);
    const job = await this.options.control.job(group, jobId, workspace);
    if (job === undefined) throw notFound(`there is no job ${jobId}`);
    return c.json(job);
  }

  /** `GET /v1/jobs` */
  async list(c: EntryHttpContext, workspace: string): Promise<Response> {
    const { control } = this.options;
    const groupCount = await control.groupCount();
    const groups = Array.from({ length: groupCount }, (_, index) => index + 1);
    const lists = await Promise.all(groups.map((group) => control.jobs(group, workspace)));
    const jobs: JobView[] = lists.flat();
    return c.json({ jobs });
  }

  /** `GET /v1/jobs/:id/results?from=N` */
  async results(c: EntryHttpContext, workspace: string): Promise<Response> {
    const { jobId, group } = this.jobFromPath(c);
    const fromIndex = queryWholeNumber(c, 'from');
    const page = { jobId, workspace, maxBytes: RESULT_PAGE_BYTES };
    let current = await this.options.control.results(group, { ...page, fromIndex });
    if (current === undefined) throw notFound(`there is no job ${jobId}`);
    const { outgoing } = c.env;
    outgoing.writeHead(200, { 'content-type': 'application/x-ndjson' });
    for (;;) {
      const text = current.lines.map((line) => `${resultText(line)}\n`).join('');
      // Pauses while the caller reads more slowly than the results are loaded.
      if (text !== '' && !outgoing.write(text)) await waitForDrain(outgoing);
      if (current.nextIndex >= current.total || outgoing.destroyed) break;
      const next = await this.options.control.results(group, {
        ...page,
        fromIndex: current.nextIndex,
      });
      if (next === undefined) throw notFound(`job ${jobId} was removed while it was read`);
      current = next;
    }
    outgoing.end();
    return RESPONSE_ALREADY_SENT;
  }

  private serviceOf(name: string, workspace: string): string {
    const [prefix = '', service] = name.split('/');
    if (service === undefined) return prefix;
    if (prefix === workspace) return service;
    throw notFound(`service: there is no service ${name}`);
  }

  private jobFromPath(c: EntryHttpContext): { jobId: string; group: number } {
    const jobId = c.req.param('id') ?? '';
    const group = groupOfJobId(jobId);
    if (group === undefined) throw notFound(`there is no job ${jobId}`);
    return { jobId, group };
  }
}

/** Waits until the connection accepts data again or is closed. */
async function waitForDrain(outgoing: NodeJS.EventEmitter): Promise<void> {
  const done = new AbortController();
  const { signal } = done;
  await Promise.race([
    once(outgoing, 'drain', { signal }).catch(() => undefined),
    once(outgoing, 'close', { signal }).catch(() => undefined),
  ]);
  done.abort();
}

function resultText(line: ResultLine): string {
  const fields = JSON.stringify({
    index: line.index,
    customId: line.customId,
    status: line.status,
  });
  const cancelled = '{"type":"cancelled","message":"the job was cancelled"}';
  const field = line.status === 'completed' ? 'response' : 'error';
  return `${fields.slice(0, -1)},"${field}":${line.body ?? cancelled}}`;
}

function unwrapJobAnswer(reply: JobGroupAnswer): JobAnswer {
  if (!reply.ok) throw errorOfRefusal(reply);
  return reply as JobAnswer;
}

function errorOfRefusal(refusal: Refusal): ShedlineError {
  if (refusal.reason === 'notFound') return notFound(refusal.message);
  if (refusal.reason === 'invalid') return invalid(refusal.message);
  const { message } = refusal;
  return new ShedlineError({ type: 'conflict', message, step: 'change job', peer: 'control' });
}
