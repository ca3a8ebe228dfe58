/**
 * Reads and checks settings files.
 */
import { readFile } from 'node:fs/promises';
import { Result } from 'true-myth';
import { z } from 'zod';
import { ShedlineError } from '@shedline/errors';
import { settingsSchema } from './schema.js';
import type { Settings } from './schema.js';

/** Checks settings; the error names the invalid field and the accepted values. */
export function checkSettings(value: unknown, source: string): Result<Settings, ShedlineError> {
  const result = settingsSchema.safeParse(value);
  if (!result.success) {
    const issue = result.error.issues[0];
    const field = issue?.path.join('.') ?? '';
    const message = `${source}: ${field === '' ? 'settings' : field}: ${issue?.message ?? ''}`;
    return Result.err(settingsError(message, source));
  }
  const problem = crossFieldProblem(result.data);
  if (problem !== undefined) return Result.err(settingsError(`${source}: ${problem}`, source));
  return Result.ok(result.data);
}

/** Reads and checks a settings file; the error names the file. */
export async function readSettings(file: string): Promise<Result<Settings, ShedlineError>> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Result.err(settingsError(`${file}: cannot be read: ${reason}`, file));
  }
  try {
    return checkSettings(JSON.parse(text), file);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Result.err(settingsError(`${file}: is not valid JSON: ${reason}`, file));
  }
}

/** Returns the JSON Schema of the settings. */
export function settingsJsonSchema(): unknown {
  return z.toJSONSchema(settingsSchema, { io: 'input' });
}

function crossFieldProblem(settings: Settings): string | undefined {
  const { control, entry } = settings;
  if (control === undefined && entry === undefined) {
    return 'control, entry: at least one of the two must be set';
  }
  if (control !== undefined && !control.peers.some((peer) => peer.name === settings.name)) {
    return `control.peers: must contain this instance, ${settings.name}`;
  }
  const unlistedMember = control?.bootstrapMembers.find(
    (member) => !control.peers.some((peer) => peer.name === member),
  );
  if (unlistedMember !== undefined) {
    return `control.bootstrapMembers: ${unlistedMember} is not in control.peers`;
  }
  const invalidTokenIndex = settings.tokens.findIndex(
    (token) => token.role === 'caller' && token.workspace === undefined,
  );
  if (invalidTokenIndex !== -1)
    return `tokens.${invalidTokenIndex}.workspace: a caller token needs a workspace`;
  return undefined;
}

function settingsError(message: string, peer: string): ShedlineError {
  return new ShedlineError({ type: 'invalid_request', message, step: 'read settings', peer });
}
