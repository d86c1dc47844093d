package org.trefoilbarrow.state;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The changes that one long poll of a watch returned.
 *
 * @param revision the revision from which the watch continues
 * @param changes the changes, in order
 */
public record ChangeBatch(long revision, List<ObjectChange> changes) {
  /** Copies the mutable components. */
  public ChangeBatch {
    changes = ImmutableList.copyOf(changes);
  }
}
