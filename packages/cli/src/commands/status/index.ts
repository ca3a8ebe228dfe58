/**
 * `shedline status`: shows the state of the fleet as one entry sees it.
 */
import type { Argv } from 'yargs';
import type { ControlStatus } from '@shedline/control-client';
import { print, printJson, remoteOptions, withClient } from '../../shared-options.js';

interface StatusAnswer {
  readonly instance: string;
  readonly revision: number;
  readonly fresh: boolean;
  readonly draining: boolean;
  readonly openRequests: number;
  readonly batchStreams: number;
  readonly entries: readonly { entry: string; url: string; revision: number; draining: boolean }[];
  readonly endpoints: readonly {
    endpointId: string;
    usable: boolean;
    leaving: boolean;
    online: number;
    batch: number;
    capacity: number;
    heardAgoMs: number;
  }[];
  readonly control: readonly ControlStatus[];
}

/** Adds the `status` command. */
export function addStatus(argv: Argv): Argv {
  return argv.command('status', 'Show the state of the fleet', remoteOptions, (args) =>
    withClient(args, async (client) => {
      const call = { method: 'GET', path: '/v1/status', repeatable: true } as const;
      const status = (await client.json(call)) as StatusAnswer;
      if (args.json) printJson(status);
      else printStatus(status);
    }),
  );
}

function printStatus(status: StatusAnswer): void {
  const flags = `${status.fresh ? '' : ' STALE'}${status.draining ? ' draining' : ''}`;
  print(
    `entry ${status.instance}: revision ${status.revision}${flags}, ${status.openRequests} requests, ${status.batchStreams} batch streams`,
  );
  for (const entry of status.entries) {
    print(
      `  entry ${entry.entry} ${entry.url} revision ${entry.revision}${entry.draining ? ' draining' : ''}`,
    );
  }
  for (const endpoint of status.endpoints) {
    const state = endpoint.leaving ? 'leaving' : endpoint.usable ? 'usable' : 'ejected';
    print(
      `  endpoint ${endpoint.endpointId} ${state} online ${endpoint.online} batch ${endpoint.batch} of ${endpoint.capacity}, heard ${endpoint.heardAgoMs} ms ago`,
    );
  }
  for (const control of status.control) printControl(control);
}

function printControl(control: ControlStatus): void {
  const disk = control.diskFailure === '' ? 'disk ok' : `DISK: ${control.diskFailure}`;
  print(`  control ${control.memberId}: ${disk}`);
  for (const group of control.groups) {
    print(
      `    group ${group.group} ${group.role} (leader ${group.leader}) term ${group.term} ` +
        `commit ${group.commitIndex} voters ${group.voters.length} learners ${group.learners.length}`,
    );
  }
}
