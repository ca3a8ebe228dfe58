/**
 * Keeps a process in touch with its fleet: it announces itself to the control processes, which
 * it finds through a few seed addresses, and takes their lists of processes that are up.
 */
import type { Logger } from '@shedline/logger';
import { PeerConnections } from '@shedline/transport';
import type { Link, LinkHandlers, PeerAddress } from '@shedline/transport';
import { controlsToReach, isCore } from './control-choice.js';
import { KnownCoreMembers } from './known-core-members.js';
import type { MemberKind, MemberRecord, MemberState } from './member-record.js';
import { MemberRegistry } from './member-registry.js';
import type { MemberChanges } from './member-registry.js';
import { MemberView } from './member-view.js';

/** Time between announcements; several fit into the lease of a member. */
const ANNOUNCE_INTERVAL_MS = 400;
/** With more control processes than this, each hears only every second announcement. */
const CONTROLS_TOLD_AT_ONCE = 3;
/** Changes of the list of processes within this time are told on as one. */
const CHANGE_COALESCE_MS = 30;

/** Message: a process describes itself. */
const ANNOUNCE = 'member';
/** Message: a process ends. */
const LEAVE = 'memberLeaves';
/** Message: what changed among the processes that a control process hears. */
const LIST = 'members';

/** Options of {@link Mesh}. */
export interface MeshOptions {
  readonly record: Omit<MemberRecord, 'sequence' | 'state'>;
  readonly secret: string;
  /** Own IP number to connect from; the system chooses where it is left out. */
  readonly localAddress?: string;
  /** Control processes to ask first. */
  readonly seeds: readonly PeerAddress[];
  /** Members of the core as this process has them on its disk; none where it is left out. */
  readonly coreMembers?: () => readonly PeerAddress[];
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Other messages and requests that come over the connections of this process. */
  readonly handlers?: Partial<LinkHandlers>;
  /** Called when the connection to a control process is up. */
  readonly onControlConnected?: (name: string) => void;
  /** Called after the list of processes may have changed. */
  readonly onChange?: () => void;
}

/** A process's place in its fleet. */
export class Mesh {
  /** Connections to the control processes. */
  readonly controls: PeerConnections;
  private readonly options: MeshOptions;
  private readonly registry = new MemberRegistry();
  private readonly view = new MemberView();
  private readonly knownCore = new KnownCoreMembers();
  /** Version of this process's list that each link has. */
  private readonly sentVersions = new WeakMap<Link, number>();
  private readonly links = new Set<Link>();
  private seeds: readonly PeerAddress[];
  /** Seeds whose lists were taken at some time. */
  private readonly toldBy = new Set<string>();
  private record: MemberRecord;
  private timer: NodeJS.Timeout | undefined;
  private inTouch = false;
  private repeats = 0;
  private pendingChange: NodeJS.Timeout | undefined;

  constructor(options: MeshOptions) {
    this.options = options;
    this.seeds = options.seeds;
    this.record = { ...options.record, sequence: 1, state: 'starting' };
    this.controls = new PeerConnections({
      name: options.record.name,
      secret: options.secret,
      use: 'news',
      ...(options.localAddress === undefined ? {} : { localAddress: options.localAddress }),
      handlers: {
        onRequest: (method, payload, link) => this.onRequest(method, payload, link),
        onMessage: (method, payload, link) => {
          this.onMessage(method, payload, link);
        },
      },
      onReady: (name) => {
        options.logger.info('control process connected', { peer: name, step: 'join' });
        this.announceTo(name);
        options.onControlConnected?.(name);
      },
      onLost: (peer, loss) => {
        options.logger.info('connection to a peer lost', { step: 'join', peer, ...loss });
      },
    });
  }

  /** Starts to announce this process. */
  start(): void {
    this.updateControls();
    this.timer = setInterval(() => {
      this.tick();
    }, ANNOUNCE_INTERVAL_MS);
    this.tick();
  }

  /** This process as the others hear of it. */
  get self(): MemberRecord {
    return this.record;
  }

  /** Processes of a kind that are up. */
  live(kind: MemberKind): readonly MemberRecord[] {
    return this.view.live(kind, this.options.nowMs());
  }

  /** Whether some control process has been heard lately. */
  get isInTouch(): boolean {
    return this.view.isFresh(this.options.nowMs());
  }

  /** Control processes with a disk that were up and are silent now. */
  get silentCore(): readonly PeerAddress[] {
    return this.knownCore.silent;
  }

  /** Says that this process takes work now, or no longer does. */
  setState(state: MemberState): void {
    this.update({ state });
  }

  /** Changes what this process says of itself. */
  update(change: Partial<MemberRecord>): void {
    this.record = { ...this.record, ...change, sequence: this.record.sequence + 1 };
    this.announce();
  }

  /** Takes other seeds, after the settings changed. */
  setSeeds(seeds: readonly PeerAddress[]): void {
    this.seeds = seeds;
    this.toldBy.clear();
    this.updateControls();
  }

  /** Takes a message that arrived over a connection; false where it is not about members. */
  receive(method: string, payload: unknown, link: Link): boolean {
    const nowMs = this.options.nowMs();
    if (method === ANNOUNCE) {
      this.links.add(link);
      this.registry.hear(payload as MemberRecord, nowMs);
      this.sendChanges(link);
      return true;
    }
    if (method === LEAVE) {
      this.registry.forget(payload as string);
      return true;
    }
    if (method === LIST) {
      this.takeChanges(payload as MemberChanges, link);
      return true;
    }
    return false;
  }

  /** Tells the control processes that this process ends, and closes the connections. */
  stop(): void {
    clearInterval(this.timer);
    clearTimeout(this.pendingChange);
    for (const control of this.controls.ready) control.send(LEAVE, this.record.name);
    // The message goes out before the connection closes.
    setImmediate(() => {
      this.controls.close();
    });
  }

  private tick(): void {
    this.repeat();
    if (this.record.kind === 'control') {
      if (!isCore(this.record)) this.tellOfCore();
      this.sendLists();
    }
    this.updateControls();
    this.noteTouch();
    this.options.onChange?.();
  }

  private announce(): void {
    if (this.record.kind === 'control') {
      const nowMs = this.options.nowMs();
      this.registry.hear(this.record, nowMs);
      this.view.hear(this.record.name, this.registry.changesSince(undefined, nowMs), nowMs);
    }
    for (const control of this.controls.ready) control.send(ANNOUNCE, this.record);
  }

  /** A sign of life that tells nothing new; where there are many to tell, by turns. */
  private repeat(): void {
    const { ready } = this.controls;
    if (ready.length <= CONTROLS_TOLD_AT_ONCE || this.record.kind === 'control') {
      this.announce();
      return;
    }
    this.repeats += 1;
    for (const [index, control] of ready.entries()) {
      if ((index + this.repeats) % 2 === 0) control.send(ANNOUNCE, this.record);
    }
  }

  private announceTo(name: string): void {
    this.controls.get(name)?.send(ANNOUNCE, this.record);
  }

  private noteTouch(): void {
    const { isInTouch } = this;
    if (isInTouch === this.inTouch) return;
    this.inTouch = isInTouch;
    const text = isInTouch ? 'in touch with the fleet' : 'out of touch with all control processes';
    this.options.logger.info(text, { step: 'join', controls: this.controls.ready.length });
  }

  /** Keeps connections to the core, be it silent, and to the seeds until that is found. */
  private updateControls(): void {
    const controls = this.live('control');
    this.noteCore(controls);
    const wanted = controlsToReach({
      seeds: this.seeds,
      hasTold: (name) => this.toldBy.has(name) || name === this.record.name,
      lastingCore: [...this.knownCore.silent, ...(this.options.coreMembers?.() ?? [])],
      controls,
      isConnected: (name) => this.controls.get(name)?.isReady === true,
    });
    for (const { name, host, port } of wanted) this.controls.add({ name, host, port });
    this.controls.keepOnly(new Set(wanted.map(({ name }) => name)));
  }

  private noteCore(controls: readonly MemberRecord[]): void {
    const { logger, nowMs } = this.options;
    const { silent, reappeared } = this.knownCore.note(controls, nowMs());
    for (const peer of silent) logger.info('control process silent', { step: 'join', peer });
    for (const { name: peer, silentMs } of reappeared) {
      logger.info('control process heard again', { step: 'join', peer, silentMs });
    }
  }

  /**
   * A control process outside the core tells of the core to whoever has only this one as a seed: it is
   * announced to by nobody else.
   */
  private tellOfCore(): void {
    const nowMs = this.options.nowMs();
    const core = this.view.liveExcept('control', this.record.name, nowMs).filter(isCore);
    for (const record of core) this.registry.hear(record, nowMs);
  }

  /** Tells the connected processes what changed, and notes connections that closed. */
  private sendLists(): void {
    const nowMs = this.options.nowMs();
    const version = this.registry.versionAt(nowMs);
    for (const link of this.links) {
      if (link.isReady) {
        if (this.sentVersions.get(link) !== version) this.sendChanges(link);
        continue;
      }
      this.links.delete(link);
      const isBack = [...this.links].some((other) => other.peerName === link.peerName);
      if (!isBack) this.registry.connectionClosed(link.peerName, nowMs);
    }
  }

  private sendChanges(link: Link): void {
    const changes = this.registry.changesSince(this.sentVersions.get(link), this.options.nowMs());
    link.send(LIST, changes);
    this.sentVersions.set(link, changes.version);
  }

  private takeChanges(changes: MemberChanges, link: Link): void {
    if (!this.view.hear(link.peerName, changes, this.options.nowMs())) {
      this.options.logger.info('list of processes does not fit, asks for the whole', {
        step: 'join',
        peer: link.peerName,
        version: changes.version,
      });
      // The next connection begins with the whole list.
      link.terminate();
      return;
    }
    if (this.seeds.some(({ name }) => name === link.peerName)) this.toldBy.add(link.peerName);
    if (changes.changed.length === 0 && changes.gone.length === 0) return;
    this.updateControls();
    this.tellSoon();
  }

  /** Every control process tells of the same change; they are told on together. */
  private tellSoon(): void {
    this.pendingChange ??= setTimeout(() => {
      this.pendingChange = undefined;
      this.options.onChange?.();
    }, CHANGE_COALESCE_MS);
  }

  private async onRequest(method: string, payload: unknown, link: Link): Promise<unknown> {
    const answer = this.options.handlers?.onRequest;
    if (answer === undefined) throw new Error(`this process answers no ${method}`);
    return answer(method, payload, link);
  }

  private onMessage(method: string, payload: unknown, link: Link): void {
    if (this.receive(method, payload, link)) return;
    this.options.handlers?.onMessage?.(method, payload, link);
  }
}
