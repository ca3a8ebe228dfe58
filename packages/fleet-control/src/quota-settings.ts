/**
 * How exactly the limits of workspaces are kept, as the settings say.
 */
import type { FleetSettings } from '@shedline/config';
import type { QuotaTolerance } from '@shedline/quota';

/** What operators allow beyond a limit. */
export function quotaTolerance(settings: FleetSettings): QuotaTolerance {
  const { quotaWindowS, quotaOvershootShare, quotaSlack } = settings;
  return { windowMs: quotaWindowS * 1000, overshootShare: quotaOvershootShare, slack: quotaSlack };
}
