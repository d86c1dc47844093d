package org.trefoilbarrow.coordination.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectKind;

/**
 * The newest changes of watched collections that this host has read or written, and those that its
 * peers have.
 *
 * <p>A watch whose response is lost looks like one without a change to report. Hosts therefore tell
 * each other the revisions of the changes that they know. A watch that does not report a change
 * within a moment after a peer has told of it has missed the change.
 *
 * <p>Thread-safe.
 */
public final class CollectionRevisions {
  /** How long a watch may take to report a change that another host knows. */
  static final Duration REPORT_TIMEOUT = Duration.ofMillis(500);

  /** The same for collections of large objects, whose responses take time to arrive. */
  static final Duration REPORT_TIMEOUT_OF_LARGE_OBJECTS = Duration.ofMillis(1500);

  private static final ImmutableSet<ObjectKind> KINDS_OF_LARGE_OBJECTS =
      ImmutableSet.of(ObjectKind.JOB, ObjectKind.RESULT);

  private final Map<ObjectKind, CollectionState> collections = new EnumMap<>(ObjectKind.class);
  private long knownCount;

  /**
   * A change that a watch has not reported.
   *
   * @param watchedAfter the revision after which the watch reports changes
   * @param revision the revision of the change
   * @param peers the peers that know the change; empty if only the platform told of it
   */
  public record MissedChange(
      ObjectKind kind, long watchedAfter, long revision, ImmutableList<HostId> peers) {}

  /** What this host has told one peer on one connection. Not thread-safe. */
  public static final class Cursor {
    private final ImmutableSet<ObjectKind> kinds;
    private long toldCount;

    /**
     * Creates a cursor of a peer that was told nothing.
     *
     * @param kinds the collections that the peer watches
     */
    public Cursor(ImmutableSet<ObjectKind> kinds) {
      this.kinds = checkNotNull(kinds, "kinds");
    }
  }

  /** What is known of one collection. */
  private static final class CollectionState {
    /** The newest change that this host knows, and its number among all that it came to know. */
    long knownRevision;

    long knownNumber;

    /** The revision after which the last watch reports changes. */
    long watchedAfter;

    /** When the watch in progress began. */
    OptionalLong watchBeganNanos = OptionalLong.empty();

    boolean missedChange;

    /** The newest change that others know, and the peers that told of it. */
    long toldRevision;

    final Set<HostId> tellers = new LinkedHashSet<>();

    /** A change that the watch has to report. Later ones are expected once it has. */
    long expectedRevision;

    long expectedSinceNanos;
  }

  /** Records that a watch of this host begins, which has read all changes up to a revision. */
  public synchronized void beginWatch(ObjectKind kind, long afterRevision, long nowNanos) {
    CollectionState collection = collection(kind);
    collection.watchedAfter = afterRevision;
    collection.watchBeganNanos = OptionalLong.of(nowNanos);
    collection.missedChange = false;
    if (collection.expectedRevision <= afterRevision) {
      collection.expectedRevision = collection.toldRevision;
      collection.expectedSinceNanos = nowNanos;
    }
  }

  /** Records that the watch of this host has ended. */
  public synchronized void endWatch(ObjectKind kind) {
    collection(kind).watchBeganNanos = OptionalLong.empty();
  }

  /** Records that this host has read or written a change, which it tells its peers. */
  public synchronized void recordKnown(ObjectKind kind, long revision) {
    CollectionState collection = collection(kind);
    if (revision > collection.knownRevision) {
      collection.knownRevision = revision;
      collection.knownNumber = ++knownCount;
    }
  }

  /**
   * Records that there is a change of a revision.
   *
   * @param peer the peer that knows the change; empty if the platform told of it
   */
  public synchronized void recordTold(
      ObjectKind kind, long revision, Optional<HostId> peer, long nowNanos) {
    CollectionState collection = collection(kind);
    if (revision < collection.toldRevision) {
      return;
    }
    if (revision > collection.toldRevision) {
      collection.toldRevision = revision;
      collection.tellers.clear();
    }
    peer.ifPresent(collection.tellers::add);
    if (collection.expectedRevision <= collection.watchedAfter) {
      collection.expectedRevision = revision;
      collection.expectedSinceNanos = nowNanos;
    }
  }

  /**
   * Returns the changes that watches in progress have missed, each once. Such a watch has to begin
   * anew.
   */
  public synchronized ImmutableList<MissedChange> takeMissed(long nowNanos) {
    ImmutableList.Builder<MissedChange> missed = ImmutableList.builder();
    collections.forEach(
        (kind, collection) -> {
          if (hasMissed(kind, collection, nowNanos)) {
            collection.missedChange = true;
            missed.add(
                new MissedChange(
                    kind,
                    collection.watchedAfter,
                    collection.toldRevision,
                    ImmutableList.copyOf(collection.tellers)));
          }
        });
    return missed.build();
  }

  private static boolean hasMissed(ObjectKind kind, CollectionState collection, long nowNanos) {
    if (collection.watchBeganNanos.isEmpty()
        || collection.missedChange
        || collection.expectedRevision <= collection.watchedAfter) {
      return false;
    }
    Duration timeout =
        KINDS_OF_LARGE_OBJECTS.contains(kind) ? REPORT_TIMEOUT_OF_LARGE_OBJECTS : REPORT_TIMEOUT;
    return nowNanos - collection.watchBeganNanos.getAsLong() >= timeout.toNanos()
        && nowNanos - collection.expectedSinceNanos >= timeout.toNanos();
  }

  /** Returns whether the last watch of a collection has missed a change. */
  public synchronized boolean hasMissed(ObjectKind kind) {
    return collection(kind).missedChange;
  }

  /**
   * Returns whether an answer to a watch passes over a change that a peer knows, though it claims
   * to contain all changes up to a later revision.
   *
   * @param afterRevision the revision after which the watch reports changes
   */
  public synchronized boolean passesOver(ObjectKind kind, long afterRevision, ChangeBatch answer) {
    long told = collection(kind).toldRevision;
    return afterRevision < told
        && told <= answer.revision()
        && answer.changes().stream().noneMatch(change -> change.version() >= told);
  }

  /** Returns the peers that know the newest change, if it is later than a revision. */
  public synchronized ImmutableList<HostId> peersAhead(ObjectKind kind, long revision) {
    CollectionState collection = collection(kind);
    return collection.toldRevision > revision
        ? ImmutableList.copyOf(collection.tellers)
        : ImmutableList.of();
  }

  /** Returns the newest revisions that this host knows and a peer was not told yet. */
  public synchronized ImmutableMap<ObjectKind, Long> takeNews(Cursor cursor) {
    if (cursor.toldCount == knownCount) {
      return ImmutableMap.of();
    }
    ImmutableMap.Builder<ObjectKind, Long> news = ImmutableMap.builder();
    for (ObjectKind kind : cursor.kinds) {
      CollectionState collection = collection(kind);
      if (collection.knownNumber > cursor.toldCount) {
        news.put(kind, collection.knownRevision);
      }
    }
    cursor.toldCount = knownCount;
    return news.buildOrThrow();
  }

  private CollectionState collection(ObjectKind kind) {
    return collections.computeIfAbsent(kind, key -> new CollectionState());
  }
}
