/**
 * File operations of the storage, behind an interface so that tests can make them fail.
 */
import { open, readFile, readdir, rename, rm, mkdir } from 'node:fs/promises';
import { join } from 'node:path';

/** File opened for appending. */
export interface AppendFile {
  append(bytes: Uint8Array): Promise<void>;
  /** Resolves once everything appended is on disk. */
  sync(): Promise<void>;
  truncate(sizeBytes: number): Promise<void>;
  close(): Promise<void>;
}

/** File operations in one data folder. */
export interface FileSystem {
  list(): Promise<string[]>;
  read(name: string): Promise<Buffer>;
  /** Creates a new empty file and syncs the folder. */
  create(name: string): Promise<AppendFile>;
  /** Replaces a file atomically: writes a temporary file, syncs, renames, and syncs the folder. */
  replace(name: string, bytes: Uint8Array): Promise<void>;
  truncate(name: string, sizeBytes: number): Promise<void>;
  /** Removes a file and syncs the folder, so that the removal survives a power loss. */
  remove(name: string): Promise<void>;
}

/** {@link FileSystem} in a folder on disk. */
export class NodeFileSystem implements FileSystem {
  private readonly folder: string;

  constructor(folder: string) {
    this.folder = folder;
  }

  /** Creates the folder if it is missing. */
  async prepare(): Promise<void> {
    await mkdir(this.folder, { recursive: true });
  }

  async list(): Promise<string[]> {
    const names = await readdir(this.folder);
    return names.sort();
  }

  read(name: string): Promise<Buffer> {
    return readFile(join(this.folder, name));
  }

  async create(name: string): Promise<AppendFile> {
    const handle = await open(join(this.folder, name), 'wx');
    await this.syncFolder();
    return {
      append: async (bytes) => {
        let written = 0;
        while (written < bytes.length) {
          const result = await handle.write(bytes, written);
          written += result.bytesWritten;
        }
      },
      sync: () => handle.datasync(),
      truncate: (sizeBytes) => handle.truncate(sizeBytes),
      close: () => handle.close(),
    };
  }

  async replace(name: string, bytes: Uint8Array): Promise<void> {
    const temporaryPath = join(this.folder, `${name}.tmp`);
    const handle = await open(temporaryPath, 'w');
    try {
      await handle.writeFile(bytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
    await rename(temporaryPath, join(this.folder, name));
    await this.syncFolder();
  }

  async truncate(name: string, sizeBytes: number): Promise<void> {
    const handle = await open(join(this.folder, name), 'r+');
    try {
      await handle.truncate(sizeBytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  async remove(name: string): Promise<void> {
    await rm(join(this.folder, name), { force: true });
    await this.syncFolder();
  }

  private async syncFolder(): Promise<void> {
    const handle = await open(this.folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}
