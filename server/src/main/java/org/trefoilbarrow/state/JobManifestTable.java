package org.trefoilbarrow.state;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.JobManifest;
import org.trefoilbarrow.protocol.JobState;
import org.trefoilbarrow.protocol.JsonCodec;

/** The batch jobs in progress, as this host knows them. Thread-safe. */
public final class JobManifestTable {
  private final Map<JobId, VersionedJob> open = new ConcurrentHashMap<>();
  private final List<Consumer<JobId>> endListeners = new CopyOnWriteArrayList<>();

  /** A job at one version. */
  public record VersionedJob(JobManifest manifest, long version) {}

  /** Runs the given action with each job that ended, on the thread that applied the change. */
  public void addEndListener(Consumer<JobId> listener) {
    endListeners.add(listener);
  }

  /** Applies changes that a watch or an own write reported. */
  public void apply(Collection<ObjectChange> changes) {
    for (ObjectChange change : changes) {
      if (change.value().isPresent()) {
        apply(JsonCodec.decode(change.value().get(), JobManifest.class), change.version());
      }
    }
  }

  /** Applies a job as it was read or written. */
  public void apply(JobManifest manifest, long version) {
    if (manifest.state() == JobState.IN_PROGRESS) {
      open.merge(
          manifest.jobId(),
          new VersionedJob(manifest, version),
          (known, next) -> known.version() >= next.version() ? known : next);
      return;
    }
    if (open.remove(manifest.jobId()) != null) {
      endListeners.forEach(listener -> listener.accept(manifest.jobId()));
    }
  }

  /** Applies a whole collection: an open job that it does not hold has ended. */
  public void applySnapshot(List<VersionedObject> objects) {
    Set<JobId> present =
        objects.stream()
            .map(object -> JsonCodec.decode(object.value(), JobManifest.class).jobId())
            .collect(Collectors.toSet());
    for (JobId known : List.copyOf(open.keySet())) {
      if (!present.contains(known) && open.remove(known) != null) {
        endListeners.forEach(listener -> listener.accept(known));
      }
    }
    objects.forEach(
        object -> apply(JsonCodec.decode(object.value(), JobManifest.class), object.version()));
  }

  /** Returns the jobs in progress. */
  public ImmutableList<JobManifest> inProgress() {
    return open.values().stream()
        .map(VersionedJob::manifest)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns a job in progress. */
  public Optional<VersionedJob> find(JobId job) {
    return Optional.ofNullable(open.get(job));
  }
}
