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

/** Caches the manifests of the batch jobs in progress. Thread-safe. */
public final class JobManifestTable {
  private final Map<JobId, VersionedJob> jobs = new ConcurrentHashMap<>();
  private final List<Consumer<JobId>> endListeners = new CopyOnWriteArrayList<>();

  /** A job's manifest at one version. */
  public record VersionedJob(JobManifest manifest, long version) {}

  /** Adds a listener that is called with each job that ended, by the thread that applied it. */
  public void addEndListener(Consumer<JobId> listener) {
    endListeners.add(listener);
  }

  /** Applies changes that a watch reported or that this host wrote. */
  public void apply(Collection<ObjectChange> changes) {
    for (ObjectChange change : changes) {
      if (change.value().isPresent()) {
        apply(JsonCodec.decode(change.value().get(), JobManifest.class), change.version());
      }
    }
  }

  /** Applies a job's manifest that was read or written at the given version. */
  public void apply(JobManifest manifest, long version) {
    if (manifest.state() == JobState.IN_PROGRESS) {
      jobs.merge(
          manifest.jobId(),
          new VersionedJob(manifest, version),
          (current, next) -> current.version() >= next.version() ? current : next);
      return;
    }
    if (jobs.remove(manifest.jobId()) != null) {
      endListeners.forEach(listener -> listener.accept(manifest.jobId()));
    }
  }

  /** Applies a snapshot of the collection: a job in progress that it lacks has ended. */
  public void applySnapshot(List<VersionedObject> objects) {
    Set<JobId> present =
        objects.stream()
            .map(object -> JsonCodec.decode(object.value(), JobManifest.class).jobId())
            .collect(Collectors.toSet());
    for (JobId cached : List.copyOf(jobs.keySet())) {
      if (!present.contains(cached) && jobs.remove(cached) != null) {
        endListeners.forEach(listener -> listener.accept(cached));
      }
    }
    objects.forEach(
        object -> apply(JsonCodec.decode(object.value(), JobManifest.class), object.version()));
  }

  /** Returns the jobs in progress. */
  public ImmutableList<JobManifest> inProgress() {
    return jobs.values().stream()
        .map(VersionedJob::manifest)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns a job, if it is in progress. */
  public Optional<VersionedJob> find(JobId job) {
    return Optional.ofNullable(jobs.get(job));
  }
}
