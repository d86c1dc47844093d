package org.trefoilbarrow.coordination.jobs;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.RequestJob;
import org.trefoilbarrow.protocol.RequestJob.JobItem;
import org.trefoilbarrow.protocol.RequestJob.Result;
import org.trefoilbarrow.protocol.RequestJob.ResultPart;

/**
 * The progress of one job: its items, the results that are permanently visible, and the outcomes
 * that are not yet visible.
 *
 * <p>Results become visible in parts with consecutive numbers, each of which the platform creates
 * at most once. A writer whose number is already used applies that part first and writes its
 * remaining results under the next number. So each item has one position, even if several hosts ran
 * it. Not thread-safe.
 */
public final class RequestJobProgress {
  /**
   * How long a route is missing before it counts as ended. Operators may take a route back soon,
   * and an item that was given up stays so.
   */
  private static final Duration ROUTE_END_DELAY = Duration.ofSeconds(5);

  /** The most bytes of the names and the state of a result in an answer. */
  private static final long ANSWER_OVERHEAD_BYTES = 64;

  private final RequestJob job;
  private final Map<String, JobItem> items = new LinkedHashMap<>();
  private final List<Result> visible = new ArrayList<>();
  private final Set<String> visibleItems = new HashSet<>();
  private final Map<String, Result> outcomes = new LinkedHashMap<>();
  private final Map<String, Integer> failedAttempts = new HashMap<>();
  private OptionalLong routeMissingSinceNanos = OptionalLong.empty();
  private int nextPartNumber;
  private boolean cancelled;

  /** Creates the progress of a job without results. */
  public RequestJobProgress(RequestJob job) {
    this.job = checkNotNull(job, "job");
    for (JobItem item : job.items()) {
      items.put(item.id(), item);
    }
  }

  /** Returns the job. */
  public RequestJob job() {
    return job;
  }

  /**
   * Decides what the job's route allows. A route that is missing here may be in a configuration
   * that this host has not learnt of, so that it has ended only if the platform confirms it.
   *
   * @param present whether the newest configuration that this host knows has the route
   * @param confirmedNanos the latest time at which that configuration is known to have been the
   *     newest one, if any
   */
  public RouteDecision decideOnRoute(boolean present, OptionalLong confirmedNanos, long nowNanos) {
    if (present) {
      routeMissingSinceNanos = OptionalLong.empty();
      return RouteDecision.RUN;
    }
    if (routeMissingSinceNanos.isEmpty()) {
      routeMissingSinceNanos = OptionalLong.of(nowNanos);
    }
    long missingSinceNanos = routeMissingSinceNanos.getAsLong();
    long endNanos = missingSinceNanos + ROUTE_END_DELAY.toNanos();
    if (isConfirmed(confirmedNanos, endNanos)) {
      return RouteDecision.GIVE_UP;
    }
    boolean isDue = nowNanos - endNanos >= 0;
    return isDue || !isConfirmed(confirmedNanos, missingSinceNanos)
        ? RouteDecision.CONFIRM
        : RouteDecision.WAIT;
  }

  private static boolean isConfirmed(OptionalLong confirmedNanos, long sinceNanos) {
    return confirmedNanos.isPresent() && confirmedNanos.getAsLong() - sinceNanos >= 0;
  }

  /** Returns the item with the given identifier. */
  public Optional<JobItem> item(String id) {
    return Optional.ofNullable(items.get(id));
  }

  /**
   * Returns the visible results from a position on, up to a total size as JSON; a first result is
   * returned even if it alone is larger. Empty if there are none.
   */
  public ImmutableList<Result> resultsFrom(int position, long maxBytes) {
    checkArgument(position >= 0, "position is negative: %s", position);
    ImmutableList.Builder<Result> results = ImmutableList.builder();
    long bytes = 0;
    for (int index = position; index < visible.size(); index++) {
      Result result = visible.get(index);
      bytes += answerBytes(result);
      if (index > position && bytes > maxBytes) {
        break;
      }
      results.add(result);
    }
    return results.build();
  }

  /** Returns the number of visible results. */
  public int visibleCount() {
    return visible.size();
  }

  /** Returns the number of the next part. */
  public int nextPartNumber() {
    return nextPartNumber;
  }

  /** Makes a part visible; returns false if its number is not the next one. */
  public boolean apply(int number, ResultPart part) {
    if (number != nextPartNumber) {
      return false;
    }
    nextPartNumber++;
    for (Result result : part.results()) {
      if (visibleItems.add(result.item())) {
        visible.add(result);
      }
      outcomes.remove(result.item());
    }
    return true;
  }

  private static long answerBytes(Result result) {
    return ANSWER_OVERHEAD_BYTES
        + JsonCodec.encodedBytes(result.item())
        + JsonCodec.encodedBytes(result.output());
  }

  /** Records that the caller ended the job; no more items are run. */
  public void cancel() {
    cancelled = true;
  }

  /** Returns whether the caller ended the job. */
  public boolean isCancelled() {
    return cancelled;
  }

  /** Returns whether all results are visible or the job was cancelled. */
  public boolean isComplete() {
    return cancelled || visibleItems.size() >= items.size();
  }

  /** Returns the items without an outcome, in the order of the job; none if it was cancelled. */
  public ImmutableList<JobItem> unfinishedItems() {
    if (cancelled) {
      return ImmutableList.of();
    }
    return items.values().stream()
        .filter(item -> !visibleItems.contains(item.id()) && !outcomes.containsKey(item.id()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns whether an item has an outcome, visible or not. */
  public boolean hasOutcome(String item) {
    return visibleItems.contains(item) || outcomes.containsKey(item);
  }

  /** Records the result of a completed item. */
  public void recordResult(String item, String output) {
    recordOutcome(new Result(item, true, output));
  }

  /** Records that an item can never be completed. */
  public void recordPermanentFailure(String item) {
    recordOutcome(new Result(item, false, ""));
  }

  /**
   * Records a failed attempt of an item; after the last one the item has failed permanently.
   *
   * @param maxAttempts the most attempts of an item
   * @return whether the item has failed permanently
   */
  public boolean recordFailedAttempt(String item, int maxAttempts) {
    int count = failedAttempts.merge(item, 1, Integer::sum);
    if (count < maxAttempts) {
      return false;
    }
    recordPermanentFailure(item);
    return true;
  }

  /** Returns whether there are outcomes to make visible. */
  public boolean hasResultsToWrite() {
    return !outcomes.isEmpty() && !cancelled;
  }

  /**
   * Returns the outcomes to make visible next, if there are any: as many as fit, and at least one.
   *
   * @param maxBytes the most bytes of all results of a part
   * @param resultBytes the bytes that one result takes
   */
  public Optional<ResultPart> nextResultPart(
      String author, long maxBytes, ToLongFunction<Result> resultBytes) {
    if (!hasResultsToWrite()) {
      return Optional.empty();
    }
    List<Result> next = new ArrayList<>();
    long bytes = 0;
    for (Result result : outcomes.values()) {
      bytes += resultBytes.applyAsLong(result);
      if (!next.isEmpty() && bytes > maxBytes) {
        break;
      }
      next.add(result);
    }
    return Optional.of(new ResultPart(author, next));
  }

  /** Puts an outcome that cannot be written behind the others, so that it does not hold them up. */
  public void postpone(Result outcome) {
    if (outcomes.remove(outcome.item(), outcome)) {
      outcomes.put(outcome.item(), outcome);
    }
  }

  private void recordOutcome(Result result) {
    if (!visibleItems.contains(result.item())) {
      outcomes.putIfAbsent(result.item(), result);
    }
  }
}
