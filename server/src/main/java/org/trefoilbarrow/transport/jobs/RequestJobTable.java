package org.trefoilbarrow.transport.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.trefoilbarrow.coordination.jobs.RequestJobProgress;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RequestJob;
import org.trefoilbarrow.protocol.RequestJob.JobItem;
import org.trefoilbarrow.protocol.RequestJob.Result;
import org.trefoilbarrow.protocol.RequestJob.ResultPart;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.transport.forward.JobGateway.Certainty;
import org.trefoilbarrow.transport.forward.JobGateway.JobAnswer;

/**
 * A cache of the request jobs of the platform with their progress, which answers reads of them.
 * Used only on the event loop's thread; calls to the platform run on the executor.
 */
public final class RequestJobTable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The most bytes of the results in one answer; with its frame, it is below a megabyte. */
  private static final long MAX_ANSWER_BYTES = 990_000;

  private final EventLoop loop;
  private final RequestJobStore store;
  private final Executor executor;
  private final boolean watched;
  private final Map<JobId, RequestJobProgress> jobs = new LinkedHashMap<>();
  private final Set<JobId> cancelledJobs = new HashSet<>();
  private final Map<JobId, SortedMap<Integer, String>> pendingParts = new LinkedHashMap<>();
  private final Map<JobId, List<WaitingRead>> waitingReads = new LinkedHashMap<>();
  private Consumer<RequestJobProgress> onChange = progress -> {};

  /** A read that waits for a result at the given position. */
  private record WaitingRead(int position, Consumer<JobAnswer> done) {}

  /**
   * Creates an empty table.
   *
   * @param watched whether the table receives all changes; otherwise each read of results calls the
   *     platform
   */
  public RequestJobTable(
      EventLoop loop, RequestJobStore store, Executor executor, boolean watched) {
    this.watched = watched;
    this.loop = checkNotNull(loop, "loop");
    this.store = checkNotNull(store, "store");
    this.executor = checkNotNull(executor, "executor");
  }

  /** Sets the task that runs for each job that is added or changes. */
  void onChange(Consumer<RequestJobProgress> task) {
    this.onChange = checkNotNull(task, "task");
  }

  /** Returns the progress of the cached jobs. */
  Collection<RequestJobProgress> jobs() {
    return jobs.values();
  }

  /** Called when the platform reports a new job. */
  public void jobCreated(String value) {
    // Decoding a large job reads its pieces from the platform, hence the executor.
    executor.execute(
        () -> {
          try {
            RequestJob job = store.decode(value);
            loop.execute(() -> add(new RequestJobProgress(job)));
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log(
                "jobs: cannot decode a job of %d characters; ignoring it", value.length());
          }
        });
  }

  /** Called when the platform reports a new result part. */
  public void partCreated(String name, String value) {
    JobId id = RequestJobStore.jobOfPart(name);
    RequestJobProgress progress = jobs.get(id);
    int number = RequestJobStore.partNumberOf(name);
    if (progress == null) {
      // Jobs and parts are watched separately, so the job may be reported later.
      pendingParts.computeIfAbsent(id, key -> new TreeMap<>()).put(number, value);
      return;
    }
    if (number < progress.nextPartNumber()) {
      return;
    }
    if (number > progress.nextPartNumber()) {
      reload(progress.job().id(), found -> {});
      return;
    }
    applyPart(progress, number, RequestJobStore.decodePart(value));
  }

  /** Called when the platform reports that a job was cancelled. */
  public void jobCancelled(String name) {
    JobId id = JobId.of(name);
    cancelledJobs.add(id);
    RequestJobProgress progress = jobs.get(id);
    if (progress != null && !progress.isCancelled()) {
      progress.cancel();
      onChange.accept(progress);
    }
  }

  /** Removes a job that the platform no longer has. */
  public void jobRemoved(String name) {
    jobs.remove(JobId.of(name));
    cancelledJobs.remove(JobId.of(name));
    pendingParts.remove(JobId.of(name));
  }

  /** Applies a part that the platform has stored, if it is the next one of its job. */
  void applyPart(RequestJobProgress progress, int number, ResultPart part) {
    if (progress.apply(number, part)) {
      onChange.accept(progress);
      answerWaitingReads(progress);
    }
  }

  /** Reads the results of a job from a position on, and waits if there is none. */
  public void read(
      JobId id,
      OrganisationId organisation,
      int position,
      long waitMillis,
      Consumer<JobAnswer> done) {
    RequestJobProgress progress = jobs.get(id);
    if (watched && progress != null && position <= progress.visibleCount()) {
      readKnown(progress, organisation, position, waitMillis, done);
      return;
    }
    reload(
        id,
        found -> {
          RequestJobProgress cached = jobs.get(id);
          if (found != Certainty.FOUND || cached == null) {
            done.accept(JobAnswer.of(found));
          } else if (position > cached.visibleCount()) {
            done.accept(JobAnswer.of(Certainty.UNSURE));
          } else {
            readKnown(cached, organisation, position, waitMillis, done);
          }
        });
  }

  /** Reads the body of an item. */
  public void readItem(
      JobId id, OrganisationId organisation, String item, Consumer<JobAnswer> done) {
    RequestJobProgress progress = jobs.get(id);
    if (progress != null) {
      done.accept(itemAnswer(progress, organisation, item));
      return;
    }
    reload(
        id,
        found -> {
          RequestJobProgress cached = jobs.get(id);
          done.accept(
              cached == null ? JobAnswer.of(found) : itemAnswer(cached, organisation, item));
        });
  }

  private static JobAnswer itemAnswer(
      RequestJobProgress progress, OrganisationId organisation, String item) {
    if (!progress.job().organisation().equals(organisation)) {
      return JobAnswer.of(Certainty.ABSENT);
    }
    Optional<byte[]> body =
        progress.item(item).map(JobItem::body).map(text -> Base64.getDecoder().decode(text));
    return new JobAnswer(Certainty.FOUND, progress.job().items().size(), ImmutableList.of(), body);
  }

  private void readKnown(
      RequestJobProgress progress,
      OrganisationId organisation,
      int position,
      long waitMillis,
      Consumer<JobAnswer> done) {
    if (!progress.job().organisation().equals(organisation)) {
      done.accept(JobAnswer.of(Certainty.ABSENT));
      return;
    }
    if (position < progress.visibleCount() || progress.isComplete() || waitMillis <= 0) {
      done.accept(resultsAnswer(progress, position));
      return;
    }
    WaitingRead read = new WaitingRead(position, done);
    JobId id = progress.job().id();
    waitingReads.computeIfAbsent(id, key -> new ArrayList<>()).add(read);
    loop.schedule(() -> onWaitTimeout(progress, read), waitMillis, TimeUnit.MILLISECONDS);
  }

  private void onWaitTimeout(RequestJobProgress progress, WaitingRead read) {
    List<WaitingRead> waiting = waitingReads.get(progress.job().id());
    if (waiting != null && waiting.remove(read)) {
      read.done().accept(resultsAnswer(progress, read.position()));
    }
  }

  private void answerWaitingReads(RequestJobProgress progress) {
    List<WaitingRead> waiting = waitingReads.remove(progress.job().id());
    if (waiting == null) {
      return;
    }
    for (WaitingRead read : waiting) {
      read.done().accept(resultsAnswer(progress, read.position()));
    }
  }

  private static JobAnswer resultsAnswer(RequestJobProgress progress, int position) {
    ImmutableList<Result> results = progress.resultsFrom(position, MAX_ANSWER_BYTES);
    return new JobAnswer(Certainty.FOUND, progress.job().items().size(), results, Optional.empty());
  }

  private void add(RequestJobProgress progress) {
    JobId id = progress.job().id();
    if (jobs.containsKey(id)) {
      return;
    }
    if (cancelledJobs.contains(id)) {
      progress.cancel();
    }
    jobs.put(id, progress);
    SortedMap<Integer, String> parts = pendingParts.remove(id);
    if (parts != null) {
      parts.forEach((number, value) -> progress.apply(number, RequestJobStore.decodePart(value)));
    }
    onChange.accept(progress);
  }

  /** Reads a job and its missing result parts from the platform. */
  private void reload(JobId id, Consumer<Certainty> done) {
    RequestJobProgress cached = jobs.get(id);
    int firstPart = cached == null ? 0 : cached.nextPartNumber();
    executor.execute(
        () -> {
          try {
            Optional<RequestJob> job = cached != null ? Optional.of(cached.job()) : store.read(id);
            List<ResultPart> parts =
                job.isPresent() ? readParts(id, firstPart) : ImmutableList.of();
            loop.execute(() -> done.accept(addLoaded(id, job, firstPart, parts)));
          } catch (PlatformException e) {
            logger.atFine().log(
                "jobs: platform did not answer a read of %s; reporting it as unsure: %s",
                id, e.getMessage());
            loop.execute(() -> done.accept(Certainty.UNSURE));
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("jobs: cannot read %s; reporting it as unsure", id);
            loop.execute(() -> done.accept(Certainty.UNSURE));
          }
        });
  }

  private List<ResultPart> readParts(JobId id, int firstPart) {
    List<ResultPart> parts = new ArrayList<>();
    for (Optional<ResultPart> part = store.readPart(id, firstPart);
        part.isPresent();
        part = store.readPart(id, firstPart + parts.size())) {
      parts.add(part.get());
    }
    return parts;
  }

  private Certainty addLoaded(
      JobId id, Optional<RequestJob> job, int firstPart, List<ResultPart> parts) {
    if (job.isEmpty()) {
      return Certainty.ABSENT;
    }
    add(new RequestJobProgress(job.get()));
    RequestJobProgress progress = jobs.get(id);
    for (int index = 0; index < parts.size(); index++) {
      applyPart(progress, firstPart + index, parts.get(index));
    }
    return Certainty.FOUND;
  }
}
