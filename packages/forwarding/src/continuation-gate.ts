/**
 * Holds back a continued stream until its endpoint is known to be the incarnation that was chosen for
 * it. An endpoint may restart under its id at another software version, and checks the id alone.
 */
import type { StreamEvent } from './event-framer.js';

/** Options of {@link ContinuationGate}. */
export interface ContinuationGateOptions {
  /**
   * Called with the first part; resolves to whether the endpoint is the chosen incarnation. Returns
   * undefined if that does not matter.
   */
  readonly confirm: () => Promise<boolean> | undefined;
  /** Passes a part on; returns false if the reader has to wait. */
  readonly forward: (bytes: Buffer, event: StreamEvent | undefined) => boolean;
  /** Called when the parts held back were passed on and reading may go on. */
  readonly onOpen: () => void;
  /** Called when the endpoint is not confirmed; the parts are dropped. */
  readonly onRefused: () => void;
}

/** Passes the parts of one response on once its endpoint is confirmed. */
export class ContinuationGate {
  private readonly options: ContinuationGateOptions;
  private readonly held: { readonly bytes: Buffer; readonly event: StreamEvent | undefined }[] = [];
  private confirmation: Promise<boolean> | undefined;
  private isOpen = false;
  private isClosed = false;
  private hasRefused = false;

  constructor(options: ContinuationGateOptions) {
    this.options = options;
  }

  /** Whether the endpoint was not confirmed. */
  get isRefused(): boolean {
    return this.hasRefused;
  }

  /** Handles a part; returns false if reading has to pause. */
  push(bytes: Buffer, event: StreamEvent | undefined): boolean {
    if (this.isOpen) return this.options.forward(bytes, event);
    const confirmation = this.confirmation ?? this.options.confirm();
    if (confirmation === undefined) {
      this.isOpen = true;
      return this.options.forward(bytes, event);
    }
    this.held.push({ bytes, event });
    this.confirmation ??= this.openAfter(confirmation);
    return false;
  }

  /** Resolves to whether all parts were passed on, once the response is complete. */
  async complete(): Promise<boolean> {
    return this.confirmation === undefined || (await this.confirmation);
  }

  /** Drops the parts held back, as the response has ended early. */
  close(): void {
    this.isClosed = true;
    this.held.length = 0;
  }

  private async openAfter(confirmation: Promise<boolean>): Promise<boolean> {
    const { forward, onOpen, onRefused } = this.options;
    const isConfirmed = await confirmation;
    if (this.isClosed) return false;
    if (!isConfirmed) {
      this.hasRefused = true;
      onRefused();
      return false;
    }
    this.isOpen = true;
    let mayContinue = true;
    for (const { bytes, event } of this.held.splice(0))
      mayContinue = forward(bytes, event) && mayContinue;
    if (mayContinue) onOpen();
    return true;
  }
}
