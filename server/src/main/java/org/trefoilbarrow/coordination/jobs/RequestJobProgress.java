package org.trefoilbarrow.coordination.jobs;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilbarrow.protocol.RequestJob;
import org.trefoilbarrow.protocol.RequestJob.JobItem;
import org.trefoilbarrow.protocol.RequestJob.Result;
import org.trefoilbarrow.protocol.RequestJob.ResultPart;

/**
 * What is known of one job: its items, the results that are visible for good, and the outcomes that
 * wait to become visible.
 *
 * <p>Results become visible by parts with consecutive numbers, each of which the platform creates
 * at most once. Whoever finds that a number is taken applies that part first and writes the rest
 * under the next number. So each item has one position, whoever else ran it. Not thread-safe.
 */
public final class RequestJobProgress {
  private final RequestJob job;
  private final Map<String, JobItem> items = new LinkedHashMap<>();
  private final List<Result> visible = new ArrayList<>();
  private final Set<String> visibleItems = new HashSet<>();
  private final Map<String, Result> outcomes = new LinkedHashMap<>();
  private final Map<String, Integer> failures = new HashMap<>();
  private int parts;
  private boolean ended;

  /** Creates the ledger of a job without results. */
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

  /** Returns the item with the given identifier. */
  public Optional<JobItem> item(String id) {
    return Optional.ofNullable(items.get(id));
  }

  /** Returns the visible results from a position on; empty if there are none. */
  public ImmutableList<Result> resultsFrom(int position, int maxCharacters) {
    checkArgument(position >= 0, "position is negative: %s", position);
    ImmutableList.Builder<Result> results = ImmutableList.builder();
    long characters = 0;
    for (int index = position; index < visible.size(); index++) {
      Result result = visible.get(index);
      characters += result.output().length();
      if (index > position && characters > maxCharacters) {
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
    return parts;
  }

  /** Makes a part visible; returns false if it is not the next one. */
  public boolean apply(int number, ResultPart part) {
    if (number != parts) {
      return false;
    }
    parts++;
    for (Result result : part.results()) {
      if (visibleItems.add(result.item())) {
        visible.add(result);
      }
      outcomes.remove(result.item());
    }
    return true;
  }

  /** Records that the job was ended; nothing more is run. */
  public void cancel() {
    ended = true;
  }

  /** Returns whether the job was ended by its caller. */
  public boolean isCancelled() {
    return ended;
  }

  /** Returns whether all results are visible, or nothing more is run. */
  public boolean isComplete() {
    return ended || visibleItems.size() >= items.size();
  }

  /** Returns the items without an outcome, in order. */
  public ImmutableList<JobItem> unfinishedItems() {
    if (ended) {
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

  /** Records that an item was done. */
  public void recordResult(String item, String output) {
    finish(new Result(item, true, output));
  }

  /** Records that an item can never be done. */
  public void recordPermanentFailure(String item) {
    finish(new Result(item, false, ""));
  }

  /**
   * Records a failed attempt of an item, and gives the item up after the last.
   *
   * @return whether the item was given up
   */
  public boolean recordFailedAttempt(String item, int attempts) {
    int count = failures.merge(item, 1, Integer::sum);
    if (count < attempts) {
      return false;
    }
    recordPermanentFailure(item);
    return true;
  }

  /** Returns the outcomes that are to become visible next, if there are any. */
  public Optional<ResultPart> nextResultPart(String author, int maxCharacters) {
    List<Result> next = new ArrayList<>();
    long characters = 0;
    for (Result result : outcomes.values()) {
      characters += result.output().length();
      if (!next.isEmpty() && characters > maxCharacters) {
        break;
      }
      next.add(result);
    }
    return next.isEmpty() || ended ? Optional.empty() : Optional.of(new ResultPart(author, next));
  }

  private void finish(Result result) {
    if (!visibleItems.contains(result.item())) {
      outcomes.putIfAbsent(result.item(), result);
    }
  }
}
