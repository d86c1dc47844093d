package org.trefoilbarrow.protocol;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The stored record of an input file. It is written after all of the file's parts.
 *
 * @param fileId the file
 * @param organisation the owner
 * @param filename the name that the caller gave
 * @param bytes the size in bytes
 * @param createdAtSeconds the time of creation, in seconds since the epoch
 * @param itemsOfPart the number of items in each part
 */
public record FileManifest(
    FileId fileId,
    OrganisationId organisation,
    String filename,
    long bytes,
    long createdAtSeconds,
    List<Integer> itemsOfPart) {
  /** Copies the mutable components. */
  public FileManifest {
    itemsOfPart = ImmutableList.copyOf(itemsOfPart);
  }

  /** Returns the number of items in the file. */
  public int itemCount() {
    return itemsOfPart.stream().mapToInt(Integer::intValue).sum();
  }
}
