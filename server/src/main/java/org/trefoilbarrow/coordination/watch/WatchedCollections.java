package org.trefoilbarrow.coordination.watch;

import com.google.common.collect.ImmutableSet;
import org.trefoilbarrow.state.ObjectKind;

/** Which collections of the platform the hosts of a fleet watch. */
public final class WatchedCollections {
  /** The collections that every host watches. */
  public static final ImmutableSet<ObjectKind> BY_ALL_HOSTS =
      ImmutableSet.of(
          ObjectKind.CONFIGURATION,
          ObjectKind.BACKEND_SERVER,
          ObjectKind.DRAINED_DOMAIN,
          ObjectKind.HOST,
          ObjectKind.QUARANTINED_PART);

  /** The collections that hosts watch which dispatch and run jobs. */
  public static final ImmutableSet<ObjectKind> BY_JOB_HOSTS =
      ImmutableSet.<ObjectKind>builder()
          .addAll(BY_ALL_HOSTS)
          .add(ObjectKind.JOB, ObjectKind.RESULT, ObjectKind.JOB_END, ObjectKind.HOST_REMOVAL)
          .build();

  private WatchedCollections() {}

  /** Returns the collections that a host watches. */
  public static ImmutableSet<ObjectKind> of(boolean servesCallers) {
    return servesCallers ? BY_ALL_HOSTS : BY_JOB_HOSTS;
  }
}
