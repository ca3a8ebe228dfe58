/**
 * The tolerance of workspace limits from the settings.
 */
import type { FleetSettings } from '@shedline/config';
import type { QuotaTolerance } from '@shedline/quota';

/** Returns how far the requests of a workspace may exceed its limit. */
export function quotaTolerance(settings: FleetSettings): QuotaTolerance {
  const { quotaWindowS, quotaOvershootShare, quotaSlack } = settings;
  return { windowMs: quotaWindowS * 1000, overshootShare: quotaOvershootShare, slack: quotaSlack };
}
