/**
 * Batches consensus messages: the messages of all groups to one instance that are queued in the
 * same iteration of the event loop are sent in one frame.
 */
import { instanceOf } from '@shedline/consensus';
import type { ConsensusMessage } from '@shedline/consensus';
import type { PeerClient } from '@shedline/transport';

/** Messages of one frame, each with its group number. */
export type ConsensusBatch = [number, ConsensusMessage][];

/** Queues outgoing messages and sends them in batches, one for each instance. */
export class MessageBatcher {
  private readonly peer: (instance: string) => PeerClient | undefined;
  private readonly pendingBatches = new Map<string, ConsensusBatch>();

  constructor(peer: (instance: string) => PeerClient | undefined) {
    this.peer = peer;
  }

  /** Queues a message for its receiver. */
  add(group: number, message: ConsensusMessage): void {
    if (this.pendingBatches.size === 0)
      setImmediate(() => {
        this.flush();
      });
    const instance = instanceOf(message.to);
    const batch = this.pendingBatches.get(instance) ?? [];
    batch.push([group, message]);
    this.pendingBatches.set(instance, batch);
  }

  private flush(): void {
    for (const [instance, batch] of this.pendingBatches)
      this.peer(instance)?.send('consensus', batch);
    this.pendingBatches.clear();
  }
}
