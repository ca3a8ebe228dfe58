/**
 * Messages between members: those of one turn of the event loop to one instance go out as one
 * frame, whatever groups they belong to.
 */
import { instanceOf } from '@shedline/consensus';
import type { ConsensusMessage, LogEntry } from '@shedline/consensus';
import type { PeerClient } from '@shedline/transport';

/** A frame: messages with their groups. */
export type ConsensusBatch = [number, ConsensusMessage][];

/** Gathers outgoing messages. */
export class MemberMailbox {
  private readonly peer: (instance: string) => PeerClient | undefined;
  private readonly outbox = new Map<string, ConsensusBatch>();

  constructor(peer: (instance: string) => PeerClient | undefined) {
    this.peer = peer;
  }

  /** Queues a message. */
  add(group: number, message: ConsensusMessage): void {
    if (this.outbox.size === 0)
      setImmediate(() => {
        this.flush();
      });
    const instance = instanceOf(message.to);
    const batch = this.outbox.get(instance) ?? [];
    batch.push([group, message]);
    this.outbox.set(instance, batch);
  }

  private flush(): void {
    for (const [instance, batch] of this.outbox) this.peer(instance)?.send('consensus', batch);
    this.outbox.clear();
  }
}

/** A message whose entries no longer share memory with the frame that brought them. */
export function detached(message: ConsensusMessage): ConsensusMessage {
  if (message.type !== 'append') return message;
  const entries = message.entries.map((entry): LogEntry => ({
    ...entry,
    data: new Uint8Array(entry.data),
  }));
  return { ...message, entries };
}
