/**
 * `POST /v1/endpoints/announce`: receives the announcements that endpoints send as heartbeats.
 */
import { z } from 'zod';
import type { Announcement } from '@shedline/types';
import { readJson } from './http-support.js';
import type { EntryHttpContext } from './http-support.js';

const MAX_ANNOUNCEMENT_BYTES = 256 * 1024;
const count = z.number().min(0);
const name = z.string().min(1).max(256);

const announcementSchema = z.strictObject({
  endpointId: name,
  incarnation: z.number().int().min(0),
  sequence: z.number().int().min(0),
  url: z.url(),
  availabilityZone: name,
  kind: z.enum(['engine', 'plain']),
  models: z.array(name).default([]),
  services: z.array(name).default([]),
  load: z.strictObject({ running: count, waiting: count, capacity: z.number().positive() }),
  checksFencing: z.boolean().default(false),
  leaving: z.boolean().default(false),
  cachedPrefixes: z.array(z.string()).optional(),
});

/** Validates an announcement and passes it to `onAnnouncement`. */
export async function handleAnnouncement(
  c: EntryHttpContext,
  onAnnouncement: (announcement: Announcement) => void,
): Promise<Response> {
  const { cachedPrefixes, ...rest } = await readJson(c, announcementSchema, MAX_ANNOUNCEMENT_BYTES);
  onAnnouncement(cachedPrefixes === undefined ? rest : { ...rest, cachedPrefixes });
  return c.json({ taken: true });
}
