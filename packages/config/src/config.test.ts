import { readFile, readdir } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { checkSettings, readSettings, settingsJsonSchema } from './read-settings.js';

const ROOT = new URL('../../../', import.meta.url);
const VALID = {
  name: 'a',
  availabilityZone: 'z',
  instanceSecret: '0123456789abcdef',
  entry: { controls: [] },
};

function problemOf(value: unknown): string {
  const checked = checkSettings(value, 'file');
  return checked.isErr ? checked.error.message : '';
}

describe('settings', () => {
  test(title('the example settings are accepted'), async (t) => {
    for (const folder of ['registry', 'forma']) {
      const path = fileURLToPath(new URL(`examples/${folder}/`, ROOT));
      const files = (await readdir(path)).filter((file) => file !== 'table.json');
      t.true(files.length >= 9 && files.length <= 12);
      for (const file of files) {
        const read = await readSettings(path + file);
        t.true(read.isOk, file);
      }
    }
  });

  test(title('the committed JSON Schema matches the code'), async (t) => {
    const file = new URL('packages/config/schema/settings.json', ROOT);
    t.deepEqual(JSON.parse(await readFile(file, 'utf8')), settingsJsonSchema());
  });

  test(title('an error names the invalid field'), (t) => {
    t.is(problemOf(VALID), '');
    t.regex(problemOf({ ...VALID, entry: { controls: [], keepForMs: -1 } }), /entry\.keepForMs/);
    t.regex(problemOf({ ...VALID, colour: 1 }), /colour/);
    t.regex(problemOf({ ...VALID, entry: undefined }), /control, entry: at least one/);
    t.regex(
      problemOf({ ...VALID, tokens: [{ role: 'caller', tokenSha256: 'a'.repeat(64) }] }),
      /tokens\.0\.workspace/,
    );
    const control = {
      dataDir: 'd',
      peers: [{ name: 'b', host: 'h', port: 1 }],
      bootstrapMembers: ['b'],
    };
    t.regex(problemOf({ ...VALID, control }), /control\.peers: must contain this instance/);
  });
});
