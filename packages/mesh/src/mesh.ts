/**
 * Membership of a process in its fleet: it announces itself to the control processes, which it
 * discovers through a few seed addresses, and receives their lists of processes that are up.
 */
import type { Logger } from '@shedline/logger';
import { PeerConnections } from '@shedline/transport';
import type { Link, LinkHandlers, PeerAddress } from '@shedline/transport';
import { announcementIntervalMs } from './announcement-interval.js';
import { controlsToConnect, isCore } from './control-choice.js';
import { KnownCoreMembers } from './known-core-members.js';
import type { MemberKind, MemberRecord, MemberState } from './member-record.js';
import { MemberRegistry } from './member-registry.js';
import type { MemberChanges } from './member-registry.js';
import { MemberView } from './member-view.js';

/** Changes of the member lists within this time cause one notification. */
const CHANGE_COALESCE_MS = 30;

/** Message with which a process announces its record. */
const ANNOUNCE = 'member';
/** Message with which a process announces that it stops. */
const LEAVE = 'memberLeaves';
/** Message with the changes of the list of a control process. */
const LIST = 'members';

/** Options of {@link Mesh}. */
export interface MeshOptions {
  readonly record: Omit<MemberRecord, 'sequence' | 'state'>;
  readonly secret: string;
  /** Local IP address to connect from; chosen by the system if omitted. */
  readonly localAddress?: string;
  /** Control processes to connect to first. */
  readonly seeds: readonly PeerAddress[];
  /** Returns the members of the core stored on this process's disk; none if omitted. */
  readonly coreMembers?: () => readonly PeerAddress[];
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Handlers of other messages and requests received over the connections of this process. */
  readonly handlers?: Partial<LinkHandlers>;
  /** Called when the connection to a control process is established. */
  readonly onControlConnected?: (name: string) => void;
  /** Called when the list of processes may have changed. */
  readonly onChange?: () => void;
}

/** Membership of one process in its fleet. */
export class Mesh {
  /** Connections to the control processes. */
  readonly controls: PeerConnections;
  private readonly options: MeshOptions;
  private readonly registry = new MemberRegistry();
  private readonly view = new MemberView();
  private readonly knownCore = new KnownCoreMembers();
  /** Version of this process's list that was last sent over each link. */
  private readonly sentVersions = new WeakMap<Link, number>();
  private readonly links = new Set<Link>();
  private seeds: readonly PeerAddress[];
  /** Names of the seeds that have sent their list at some time. */
  private readonly seedsWithList = new Set<string>();
  private record: MemberRecord;
  private timer: NodeJS.Timeout | undefined;
  private wasInContact = false;
  /** Control processes that the connections were last chosen from. */
  private lastControls: readonly MemberRecord[] = [];
  private changeTimer: NodeJS.Timeout | undefined;

  constructor(options: MeshOptions) {
    this.options = options;
    this.seeds = options.seeds;
    this.record = { ...options.record, sequence: 1, state: 'starting' };
    this.controls = new PeerConnections({
      name: options.record.name,
      secret: options.secret,
      silenceDetection: 'fast',
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

  /** Connects to the control processes and starts to announce this process. */
  start(): void {
    this.updateControls();
    this.tick();
  }

  /** The record with which this process announces itself. */
  get self(): MemberRecord {
    return this.record;
  }

  /** Returns the processes of a kind that are up. */
  live(kind: MemberKind): readonly MemberRecord[] {
    return this.view.live(kind, this.options.nowMs());
  }

  /** Whether the list of some control process was received recently. */
  get isInContact(): boolean {
    return this.view.isFresh(this.options.nowMs());
  }

  /** Control processes with a disk that were up and are missing from all lists now. */
  get missingCore(): readonly PeerAddress[] {
    return this.knownCore.missing;
  }

  /** Names of the control processes with a disk that are listed now or were within `withinMs`. */
  coreListedWithin(withinMs: number): readonly string[] {
    return this.knownCore.listedSince(this.options.nowMs() - withinMs);
  }

  /** Announces whether this process accepts work. */
  setState(state: MemberState): void {
    this.update({ state });
  }

  /** Changes the record of this process and announces it. */
  update(change: Partial<MemberRecord>): void {
    this.record = { ...this.record, ...change, sequence: this.record.sequence + 1 };
    this.announce();
  }

  /** Replaces the seeds after the settings changed. */
  setSeeds(seeds: readonly PeerAddress[]): void {
    this.seeds = seeds;
    this.seedsWithList.clear();
    this.updateControls();
  }

  /** Handles a message received over a connection; returns false if it is not about membership. */
  receive(method: string, payload: unknown, link: Link): boolean {
    const nowMs = this.options.nowMs();
    if (method === ANNOUNCE) {
      this.links.add(link);
      this.registry.noteAnnouncement(payload as MemberRecord, nowMs);
      this.sendChanges(link);
      return true;
    }
    if (method === LEAVE) {
      this.registry.remove(payload as string);
      return true;
    }
    if (method === LIST) {
      this.applyChanges(payload as MemberChanges, link);
      return true;
    }
    return false;
  }

  /** Announces to the control processes that this process stops, and closes the connections. */
  stop(): void {
    clearTimeout(this.timer);
    clearTimeout(this.changeTimer);
    for (const control of this.controls.ready) control.send(LEAVE, this.record.name);
    // Deferred so that the message is sent before the connection closes.
    setImmediate(() => {
      this.controls.close();
    });
  }

  private tick(): void {
    this.announce();
    this.scheduleTick();
    if (this.record.kind === 'control') {
      if (!isCore(this.record)) this.registerCore();
      this.sendLists();
    }
    this.updateControls();
    this.logContactChange();
    this.options.onChange?.();
  }

  private scheduleTick(): void {
    const controlCount = this.controls.ready.length;
    this.timer = setTimeout(
      () => {
        this.tick();
      },
      announcementIntervalMs(this.record.kind, controlCount),
    );
  }

  private announce(): void {
    if (this.record.kind === 'control') {
      const nowMs = this.options.nowMs();
      this.registry.noteAnnouncement(this.record, nowMs);
      this.view.applyChanges(this.record.name, this.registry.changesSince(undefined, nowMs), nowMs);
    }
    for (const control of this.controls.ready) control.send(ANNOUNCE, this.record);
  }

  private announceTo(name: string): void {
    this.controls.get(name)?.send(ANNOUNCE, this.record);
  }

  private logContactChange(): void {
    const { isInContact } = this;
    if (isInContact === this.wasInContact) return;
    this.wasInContact = isInContact;
    const text = isInContact ? 'connected to the fleet' : 'lost contact with all control processes';
    this.options.logger.info(text, { step: 'join', controls: this.controls.ready.length });
  }

  /**
   * Keeps connections to the core, including its missing members, and to the seeds until the core
   * is connected.
   */
  private updateControls(): void {
    const controls = this.live('control');
    this.lastControls = controls;
    this.updateKnownCore(controls);
    const wanted = controlsToConnect({
      seeds: this.seeds,
      hasSentList: (name) => this.seedsWithList.has(name) || name === this.record.name,
      persistentCore: [...this.knownCore.missing, ...(this.options.coreMembers?.() ?? [])],
      controls,
      isConnected: (name) => this.controls.get(name)?.isReady === true,
    });
    for (const { name, host, port } of wanted) this.controls.add({ name, host, port });
    this.controls.keepOnly(new Set(wanted.map(({ name }) => name)));
  }

  private updateKnownCore(controls: readonly MemberRecord[]): void {
    const { logger, nowMs } = this.options;
    const { missing, reappeared } = this.knownCore.update(controls, nowMs());
    for (const peer of missing)
      logger.info('control process missing from all member lists', { step: 'join', peer });
    for (const { name: peer, silentMs } of reappeared) {
      logger.info('control process listed again', { step: 'join', peer, silentMs });
    }
  }

  /**
   * Adds the core to the list of this control process, which is outside the core and gets no
   * announcements of it. Processes that have only this one as a seed discover the core through this
   * list.
   */
  private registerCore(): void {
    const nowMs = this.options.nowMs();
    const core = this.view.liveExcept('control', this.record.name, nowMs).filter(isCore);
    for (const record of core) this.registry.noteAnnouncement(record, nowMs);
  }

  /** Sends list changes to the connected processes, and handles connections that closed. */
  private sendLists(): void {
    const nowMs = this.options.nowMs();
    const version = this.registry.versionAt(nowMs);
    for (const link of this.links) {
      if (link.isReady) {
        if (this.sentVersions.get(link) !== version) this.sendChanges(link);
        continue;
      }
      this.links.delete(link);
      const hasReconnected = [...this.links].some((other) => other.peerName === link.peerName);
      if (!hasReconnected) this.registry.connectionClosed(link.peerName, nowMs);
    }
  }

  private sendChanges(link: Link): void {
    const changes = this.registry.changesSince(this.sentVersions.get(link), this.options.nowMs());
    link.send(LIST, changes);
    this.sentVersions.set(link, changes.version);
  }

  private applyChanges(changes: MemberChanges, link: Link): void {
    if (!this.view.applyChanges(link.peerName, changes, this.options.nowMs())) {
      this.options.logger.info(
        'member list changes do not match the known version; requesting the whole list',
        {
          step: 'join',
          peer: link.peerName,
          version: changes.version,
        },
      );
      // After the reconnection the peer sends the whole list.
      link.terminate();
      return;
    }
    if (this.seeds.some(({ name }) => name === link.peerName))
      this.seedsWithList.add(link.peerName);
    if (changes.changed.length === 0 && changes.gone.length === 0) return;
    if (changes.since === undefined || this.live('control') !== this.lastControls)
      this.updateControls();
    this.scheduleChangeNotice();
  }

  /** Defers the notification, as every control process sends the same change. */
  private scheduleChangeNotice(): void {
    this.changeTimer ??= setTimeout(() => {
      this.changeTimer = undefined;
      this.options.onChange?.();
    }, CHANGE_COALESCE_MS);
  }

  private async onRequest(method: string, payload: unknown, link: Link): Promise<unknown> {
    const handler = this.options.handlers?.onRequest;
    if (handler === undefined) throw new Error(`this process has no handler for ${method}`);
    return handler(method, payload, link);
  }

  private onMessage(method: string, payload: unknown, link: Link): void {
    if (this.receive(method, payload, link)) return;
    this.options.handlers?.onMessage?.(method, payload, link);
  }
}
