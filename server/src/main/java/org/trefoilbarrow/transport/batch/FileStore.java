package org.trefoilbarrow.transport.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.trefoilbarrow.protocol.Digests;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.FileId;
import org.trefoilbarrow.protocol.FileManifest;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.WriteOutcome;
import org.trefoilbarrow.transport.platform.PlatformReads;

/**
 * Input files of batch jobs in the platform.
 *
 * <p>A file is split into parts of whole lines, which later become the segments of a job. The
 * manifest is written after all parts, so that a file exists either in full or not at all. Memory
 * use is limited to one part. Thread-safe.
 */
public final class FileStore {
  private static final int MAX_PART_BYTES = 512 << 10;
  private static final int MAX_PART_ITEMS = 1000;
  private static final int MAX_WRITE_ATTEMPTS = 5;
  private static final String FILE_PREFIX = "file-";

  private final Platform platform;
  private final ConfirmedWrites writes;
  private final int maxLineBytes;
  private final LongSupplier secondsClock;

  /**
   * Creates a store.
   *
   * @param maxLineBytes the largest size of a line in a file, in bytes
   * @param secondsClock the time of day, in seconds since the epoch
   */
  public FileStore(
      Platform platform, ConfirmedWrites writes, int maxLineBytes, LongSupplier secondsClock) {
    this.platform = checkNotNull(platform, "platform");
    this.writes = checkNotNull(writes, "writes");
    this.maxLineBytes = Math.min(maxLineBytes, MAX_PART_BYTES);
    this.secondsClock = checkNotNull(secondsClock, "secondsClock");
  }

  /**
   * Stores a file of JSON Lines.
   *
   * @param maxItems the largest number of items that the organisation may have in a job
   * @throws ServiceException if a line is not a valid item, with the number of the line, or if the
   *     file could not be stored; nothing is accepted then
   */
  public FileManifest store(
      OrganisationId organisation, String filename, InputStream content, int maxItems) {
    FileId fileId = FileId.of(Digests.newSecret(FILE_PREFIX));
    PartWriter parts = new PartWriter(fileId);
    try {
      long bytes = storeLines(content, parts, maxItems);
      parts.flush();
      if (parts.itemsOfPart.isEmpty()) {
        throw new ServiceException(ErrorKind.INVALID_REQUEST, "the file has no lines");
      }
      FileManifest manifest =
          new FileManifest(
              fileId, organisation, filename, bytes, secondsClock.getAsLong(), parts.itemsOfPart);
      create(ObjectKind.FILE, objectName(organisation, fileId), JsonCodec.encode(manifest));
      return manifest;
    } catch (IOException e) {
      parts.discard();
      throw new ServiceException(ErrorKind.INVALID_REQUEST, e, "the file was not received in full");
    } catch (ServiceException e) {
      parts.discard();
      throw e;
    }
  }

  /**
   * Returns the manifest of an organisation's file.
   *
   * @param id the identifier as the caller gave it, possibly empty
   * @throws ServiceException if the file does not exist, or the platform does not answer
   */
  public FileManifest get(OrganisationId organisation, String id) {
    if (id.isEmpty()) {
      throw notFound(id);
    }
    String name = objectName(organisation, FileId.of(id));
    return PlatformReads.answerOf(() -> platform.read(ObjectKind.FILE, name))
        .map(object -> JsonCodec.decode(object.value(), FileManifest.class))
        .orElseThrow(() -> notFound(id));
  }

  /** Returns the error for a file that does not exist. */
  public static ServiceException notFound(String id) {
    return new ServiceException(ErrorKind.NOT_FOUND, "file \"%s\" does not exist", id);
  }

  /** Returns the lines of one part of a file. */
  public List<String> readPart(FileId fileId, int part) {
    String name = partName(fileId, part);
    String value =
        platform
            .read(ObjectKind.FILE_PART, name)
            .map(VersionedObject::value)
            .orElseThrow(() -> new IllegalStateException("file part is missing: " + name));
    return value.lines().toList();
  }

  /** Writes the content of a file. */
  public void writeContent(FileManifest file, OutputStream output) throws IOException {
    for (int part = 0; part < file.itemsOfPart().size(); part++) {
      for (String line : readPart(file.fileId(), part)) {
        output.write(line.getBytes(StandardCharsets.UTF_8));
        output.write('\n');
      }
    }
  }

  private long storeLines(InputStream content, PartWriter parts, int maxItems) throws IOException {
    Set<Long> seenIdHashes = new HashSet<>();
    BoundedLines lines =
        new BoundedLines(
            new BufferedReader(new InputStreamReader(content, StandardCharsets.UTF_8)),
            maxLineBytes);
    long number = 0;
    long bytes = 0;
    for (String line = lines.next(); line != null; line = lines.next()) {
      number++;
      if (line.isBlank()) {
        continue;
      }
      if (parts.items >= maxItems) {
        throw ItemLine.invalidLine(
            number, "exceeds the maximum of " + maxItems + " items in a job");
      }
      ItemLine item = ItemLine.parse(line, number);
      long hash = Hashing.sipHash24().hashString(item.customId(), StandardCharsets.UTF_8).asLong();
      if (!seenIdHashes.add(hash)) {
        throw ItemLine.invalidLine(
            number, "repeats the \"custom_id\" \"" + item.customId() + "\" of an earlier line");
      }
      bytes += parts.add(line);
    }
    return bytes;
  }

  private void create(ObjectKind kind, String name, String value) {
    WriteOutcome written = writes.write(kind, name, Platform.ABSENT, value, MAX_WRITE_ATTEMPTS);
    if (!written.isApplied()) {
      throw new ServiceException(
          ErrorKind.PLATFORM_UNAVAILABLE, "the file could not be stored; nothing was accepted");
    }
  }

  private static String objectName(OrganisationId organisation, FileId fileId) {
    return organisation + "/" + fileId;
  }

  private static String partName(FileId fileId, int part) {
    return String.format("%s/%06d", fileId, part);
  }

  /** Buffers lines and writes them as parts. */
  private final class PartWriter {
    private final FileId fileId;
    private final List<Integer> itemsOfPart = new ArrayList<>();
    private final StringBuilder buffer = new StringBuilder();
    private int bufferedBytes;
    private int bufferedItems;
    private int items;

    PartWriter(FileId fileId) {
      this.fileId = fileId;
    }

    /** Adds a line and returns its size in bytes. */
    int add(String line) {
      int bytes = line.getBytes(StandardCharsets.UTF_8).length + 1;
      if (bufferedBytes + bytes > MAX_PART_BYTES || bufferedItems == MAX_PART_ITEMS) {
        flush();
      }
      buffer.append(line).append('\n');
      bufferedBytes += bytes;
      bufferedItems++;
      items++;
      return bytes;
    }

    void flush() {
      if (bufferedItems == 0) {
        return;
      }
      create(ObjectKind.FILE_PART, partName(fileId, itemsOfPart.size()), buffer.toString());
      itemsOfPart.add(bufferedItems);
      buffer.setLength(0);
      bufferedBytes = 0;
      bufferedItems = 0;
    }

    /** Deletes the parts that were written, until the platform does not answer. */
    void discard() {
      for (int part = 0; part < itemsOfPart.size(); part++) {
        String name = partName(fileId, part);
        try {
          platform
              .read(ObjectKind.FILE_PART, name)
              .ifPresent(o -> platform.delete(ObjectKind.FILE_PART, name, o.version()));
        } catch (PlatformException e) {
          return;
        }
      }
    }
  }
}
