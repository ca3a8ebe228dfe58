import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { checkFleetSettings, readFleetSettings } from './fleet-schema.js';

const SETTINGS = {
  instance: 'i',
  availabilityZone: 'z',
  host: '10.0.0.1',
  firstPeerPort: 7720,
  seeds: ['10.0.0.1:8166'],
  fleetSecret: 'a secret of some length',
};

describe('settings of a fleet', () => {
  test(title('get defaults, and may contain unknown fields'), (t) => {
    const checked = checkFleetSettings({ ...SETTINGS, later: 1 }, 'file');
    t.true(checked.isOk);
    if (checked.isErr) return;
    t.false(checked.value.isFounding);
    t.is(checked.value.toleratedLosses, 1);
    t.is(checked.value.stopWithinS, 8);
  });

  test(title('are rejected with a one-line error that names the missing or invalid field'), (t) => {
    const invalid: [object, RegExp][] = [
      [{ ...SETTINGS, host: undefined }, /^file: host: /],
      [{ ...SETTINGS, seeds: ['10.0.0.1'] }, /^file: seeds\.0: use HOST:PORT$/],
      [{ ...SETTINGS, fleetSecret: 'short' }, /^file: fleetSecret: .*16 characters$/],
      [{ ...SETTINGS, stopWithinS: 0 }, /^file: stopWithinS: /],
    ];
    for (const [settings, message] of invalid) {
      const checked = checkFleetSettings(settings, 'file');
      t.true(checked.isErr);
      if (checked.isErr) t.regex(checked.error.message, message);
    }
  });

  test(title('are rejected with an error that names the unreadable file'), async (t) => {
    const folder = await mkdtemp(join(tmpdir(), 'shedline-settings-'));
    t.teardown(() => rm(folder, { recursive: true }));
    const file = join(folder, 'settings.json');
    const missing = await readFleetSettings(file);
    t.true(missing.isErr && missing.error.message.includes(file));
    await writeFile(file, '{ "instance": ');
    const broken = await readFleetSettings(file);
    t.true(broken.isErr && broken.error.message.startsWith(`${file}: cannot be read as JSON`));
    await writeFile(file, JSON.stringify(SETTINGS));
    t.true((await readFleetSettings(file)).isOk);
  });
});
