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
 * The jobs that a host knows, and answers to reads of them. Used by the thread of the event loop
 * alone; calls to the platform run on the executor.
 */
public final class RequestJobTable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The most characters of one answer with results. */
  private static final int MAX_ANSWER_CHARACTERS = 700_000;

  private final EventLoop loop;
  private final RequestJobStore objects;
  private final Executor executor;
  private final boolean watched;
  private final Map<JobId, RequestJobProgress> ledgers = new LinkedHashMap<>();
  private final Set<JobId> ends = new HashSet<>();
  private final Map<JobId, SortedMap<Integer, String>> early = new LinkedHashMap<>();
  private final Map<JobId, List<Waiter>> waiters = new LinkedHashMap<>();
  private Consumer<RequestJobProgress> onChange = ledger -> {};

  /** A read that waits for a result. */
  private record Waiter(int position, Consumer<JobAnswer> done) {}

  /**
   * Creates an empty table.
   *
   * @param watched whether the table hears of all changes; otherwise each read asks the platform
   */
  public RequestJobTable(
      EventLoop loop, RequestJobStore objects, Executor executor, boolean watched) {
    this.watched = watched;
    this.loop = checkNotNull(loop, "loop");
    this.objects = checkNotNull(objects, "objects");
    this.executor = checkNotNull(executor, "executor");
  }

  /** Runs a task for each job that becomes known or changes. */
  void onChange(Consumer<RequestJobProgress> task) {
    this.onChange = checkNotNull(task, "task");
  }

  /** Returns the known jobs. */
  Collection<RequestJobProgress> ledgers() {
    return ledgers.values();
  }

  /** Takes the news of a job. */
  public void jobCreated(String value) {
    // A large job is put together by calls, hence on the executor.
    executor.execute(
        () -> {
          try {
            RequestJob job = objects.decode(value);
            loop.execute(() -> add(new RequestJobProgress(job)));
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("jobs: a job cannot be read");
          }
        });
  }

  /** Takes the news of a part of results. */
  public void partCreated(String name, String value) {
    JobId id = RequestJobStore.jobOfPart(name);
    RequestJobProgress ledger = ledgers.get(id);
    int number = RequestJobStore.partNumber(name);
    if (ledger == null) {
      // Jobs and parts are watched apart, so the job may yet come.
      early.computeIfAbsent(id, key -> new TreeMap<>()).put(number, value);
      return;
    }
    if (number < ledger.nextPartNumber()) {
      return;
    }
    if (number > ledger.nextPartNumber()) {
      reload(ledger.job().id(), found -> {});
      return;
    }
    applyPart(ledger, number, RequestJobStore.decodePart(value));
  }

  /** Takes the news of a job's end. */
  public void jobCancelled(String name) {
    JobId id = JobId.of(name);
    ends.add(id);
    RequestJobProgress ledger = ledgers.get(id);
    if (ledger != null && !ledger.isCancelled()) {
      ledger.cancel();
      onChange.accept(ledger);
    }
  }

  /** Forgets a job that the platform no longer keeps. */
  public void jobRemoved(String name) {
    ledgers.remove(JobId.of(name));
    ends.remove(JobId.of(name));
    early.remove(JobId.of(name));
  }

  /** Makes a part visible that is known to be kept. */
  void applyPart(RequestJobProgress ledger, int number, ResultPart part) {
    if (ledger.apply(number, part)) {
      onChange.accept(ledger);
      wake(ledger);
    }
  }

  /** Reads results. */
  public void read(
      JobId id,
      OrganisationId organisation,
      int position,
      long waitMillis,
      Consumer<JobAnswer> done) {
    RequestJobProgress ledger = ledgers.get(id);
    if (watched && ledger != null && position <= ledger.visibleCount()) {
      readKnown(ledger, organisation, position, waitMillis, done);
      return;
    }
    reload(
        id,
        found -> {
          RequestJobProgress loaded = ledgers.get(id);
          if (found != Certainty.FOUND || loaded == null) {
            done.accept(JobAnswer.of(found));
          } else if (position > loaded.visibleCount()) {
            done.accept(JobAnswer.of(Certainty.UNSURE));
          } else {
            readKnown(loaded, organisation, position, waitMillis, done);
          }
        });
  }

  /** Reads the body of an item. */
  public void readItem(
      JobId id, OrganisationId organisation, String item, Consumer<JobAnswer> done) {
    RequestJobProgress ledger = ledgers.get(id);
    if (ledger != null) {
      done.accept(itemOf(ledger, organisation, item));
      return;
    }
    reload(
        id,
        found -> {
          RequestJobProgress loaded = ledgers.get(id);
          done.accept(loaded == null ? JobAnswer.of(found) : itemOf(loaded, organisation, item));
        });
  }

  private static JobAnswer itemOf(
      RequestJobProgress ledger, OrganisationId organisation, String item) {
    if (!ledger.job().organisation().equals(organisation)) {
      return JobAnswer.of(Certainty.ABSENT);
    }
    Optional<byte[]> body =
        ledger.item(item).map(JobItem::body).map(text -> Base64.getDecoder().decode(text));
    return new JobAnswer(Certainty.FOUND, ledger.job().items().size(), ImmutableList.of(), body);
  }

  private void readKnown(
      RequestJobProgress ledger,
      OrganisationId organisation,
      int position,
      long waitMillis,
      Consumer<JobAnswer> done) {
    if (!ledger.job().organisation().equals(organisation)) {
      done.accept(JobAnswer.of(Certainty.ABSENT));
      return;
    }
    if (position < ledger.visibleCount() || ledger.isComplete() || waitMillis <= 0) {
      done.accept(answer(ledger, position));
      return;
    }
    Waiter waiter = new Waiter(position, done);
    JobId id = ledger.job().id();
    waiters.computeIfAbsent(id, key -> new ArrayList<>()).add(waiter);
    loop.schedule(() -> giveUp(ledger, waiter), waitMillis, TimeUnit.MILLISECONDS);
  }

  private void giveUp(RequestJobProgress ledger, Waiter waiter) {
    List<Waiter> waiting = waiters.get(ledger.job().id());
    if (waiting != null && waiting.remove(waiter)) {
      waiter.done().accept(answer(ledger, waiter.position()));
    }
  }

  private void wake(RequestJobProgress ledger) {
    List<Waiter> waiting = waiters.remove(ledger.job().id());
    if (waiting == null) {
      return;
    }
    for (Waiter waiter : waiting) {
      waiter.done().accept(answer(ledger, waiter.position()));
    }
  }

  private static JobAnswer answer(RequestJobProgress ledger, int position) {
    ImmutableList<Result> results = ledger.resultsFrom(position, MAX_ANSWER_CHARACTERS);
    return new JobAnswer(Certainty.FOUND, ledger.job().items().size(), results, Optional.empty());
  }

  private void add(RequestJobProgress ledger) {
    JobId id = ledger.job().id();
    if (ledgers.containsKey(id)) {
      return;
    }
    if (ends.contains(id)) {
      ledger.cancel();
    }
    ledgers.put(id, ledger);
    SortedMap<Integer, String> parts = early.remove(id);
    if (parts != null) {
      parts.forEach((number, value) -> ledger.apply(number, RequestJobStore.decodePart(value)));
    }
    onChange.accept(ledger);
  }

  /** Reads a job from the platform, and tells how certain that is. */
  private void reload(JobId id, Consumer<Certainty> done) {
    RequestJobProgress known = ledgers.get(id);
    int from = known == null ? 0 : known.nextPartNumber();
    executor.execute(
        () -> {
          try {
            Optional<RequestJob> job = known != null ? Optional.of(known.job()) : objects.read(id);
            List<ResultPart> parts = job.isPresent() ? readParts(id, from) : ImmutableList.of();
            loop.execute(() -> done.accept(loaded(id, job, from, parts)));
          } catch (PlatformException e) {
            logger.atFine().log("jobs: %s cannot be read: %s", id, e.getMessage());
            loop.execute(() -> done.accept(Certainty.UNSURE));
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("jobs: %s cannot be read", id);
            loop.execute(() -> done.accept(Certainty.UNSURE));
          }
        });
  }

  private List<ResultPart> readParts(JobId id, int from) {
    List<ResultPart> parts = new ArrayList<>();
    for (Optional<ResultPart> part = objects.readPart(id, from);
        part.isPresent();
        part = objects.readPart(id, from + parts.size())) {
      parts.add(part.get());
    }
    return parts;
  }

  private Certainty loaded(JobId id, Optional<RequestJob> job, int from, List<ResultPart> parts) {
    if (job.isEmpty()) {
      return Certainty.ABSENT;
    }
    add(new RequestJobProgress(job.get()));
    RequestJobProgress ledger = ledgers.get(id);
    for (int index = 0; index < parts.size(); index++) {
      applyPart(ledger, from + index, parts.get(index));
    }
    return Certainty.FOUND;
  }
}
