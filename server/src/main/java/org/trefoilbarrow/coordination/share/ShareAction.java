package org.trefoilbarrow.coordination.share;

import org.trefoilbarrow.protocol.ShareRecord;

/**
 * A conditional write of a share's record that {@link ShareLeases} has planned.
 *
 * @param type the purpose of the write
 * @param share the share's index, from 0
 * @param expectedVersion the version of the record that the write replaces
 * @param record the value to write
 */
public record ShareAction(Type type, int share, long expectedVersion, ShareRecord record) {

  /** The purpose of a write. */
  public enum Type {
    CLAIM,
    RENEW,
    RELEASE
  }
}
