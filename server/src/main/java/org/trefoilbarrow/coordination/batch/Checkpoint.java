package org.trefoilbarrow.coordination.batch;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.trefoilbarrow.protocol.SegmentState;

/**
 * The writes of one checkpoint of a segment: first the result parts, then the state that names
 * them.
 *
 * @param expectedVersion the version of the segment's record that the state replaces
 * @param parts the new result parts
 * @param state the new state
 */
public record Checkpoint(long expectedVersion, List<Part> parts, SegmentState state) {

  /**
   * A result part.
   *
   * @param name the name of the part's object
   * @param lines the results, as JSON Lines
   */
  public record Part(String name, String lines) {}

  /** Copies the list of parts. */
  public Checkpoint {
    parts = ImmutableList.copyOf(parts);
  }
}
