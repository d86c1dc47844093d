package org.trefoilbarrow.state;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * A page of a collection's objects.
 *
 * @param revision the collection's revision when the page was read
 * @param objects the objects, sorted by name
 * @param complete whether no further objects follow
 */
public record ObjectPage(long revision, List<VersionedObject> objects, boolean complete) {
  /** Copies the mutable components. */
  public ObjectPage {
    objects = ImmutableList.copyOf(objects);
  }
}
