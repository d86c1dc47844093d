package org.trefoilbarrow.coordination.watch;

import com.google.common.collect.ImmutableSet;
import org.trefoilbarrow.state.ObjectKind;

/** Which collections of the platform the hosts of a fleet watch, and pass on to each other. */
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

  /**
   * The collections whose changes job hosts pass on: what all hosts watch, and the ends of jobs,
   * since an item that runs after the end of its job cannot be taken back.
   */
  public static final ImmutableSet<ObjectKind> PASSED_ON_BY_JOB_HOSTS =
      ImmutableSet.<ObjectKind>builder().addAll(BY_ALL_HOSTS).add(ObjectKind.JOB_END).build();

  /**
   * The collections whose changes hosts that serve callers pass on. The dispatching host alone
   * applies the limits in the configuration, and the platform may refuse it and all job hosts.
   */
  public static final ImmutableSet<ObjectKind> PASSED_ON_BY_CALLER_HOSTS =
      ImmutableSet.of(ObjectKind.CONFIGURATION);

  private WatchedCollections() {}

  /** Returns the collections that a host watches. */
  public static ImmutableSet<ObjectKind> of(boolean servesCallers) {
    return servesCallers ? BY_ALL_HOSTS : BY_JOB_HOSTS;
  }
}
