/**
 * Keys of the features that requests have in common. The key of a whole content is a digest; that of
 * a part of a prompt names what it is bound to.
 */
import { createHash } from 'node:crypto';

const PART_PREFIX = 'part:';
/** Length above which the id of a part is replaced by a digest, as callers choose it. */
const MAX_PART_ID_LENGTH = 32;

/** A part of a prompt at the endpoints of one software version of a service. */
export interface PromptPart {
  readonly partId: string;
  readonly service: string;
  readonly softwareVersion: string;
}

/** Returns the key of a part; another software version may execute it. */
export function partKeyOf({ partId, service, softwareVersion }: PromptPart): string {
  const shortId =
    partId.length <= MAX_PART_ID_LENGTH
      ? partId
      : createHash('sha256').update(partId).digest('base64url');
  return `${PART_PREFIX}${shortId}@${service}/${softwareVersion}`;
}

/** Returns the key of a part without what it is bound to; undefined for another feature. */
export function unboundPartOf(featureKey: string): string | undefined {
  return isPartKey(featureKey) ? featureKey.slice(0, featureKey.indexOf('@')) : undefined;
}

/** Whether a feature is a part of prompts, which requests of different contents share. */
export function isPartKey(featureKey: string): boolean {
  return featureKey.startsWith(PART_PREFIX);
}
