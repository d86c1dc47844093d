package org.trefoilbarrow.coordination.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.PromptPartId;

/**
 * The prompt parts that end the backend servers that begin to answer them.
 *
 * <p>A part is suspected of an end of a backend server if a request with it had been sent there and
 * its response had not begun. It is quarantined when it explains several ends and no request with
 * it has succeeded since. Three cases are told apart:
 *
 * <ul>
 *   <li>Other parts of the same requests, and of requests that were at the same server. Most are
 *       seen to be sound; an end is blamed on one part only, the one that explains the most ends.
 *       If another part explains one more end later, it takes the place of that part.
 *   <li>Ends of several servers by one cause, such as a failure domain without power. They have the
 *       same moment; see {@link QuarantineRules#sameMoment}.
 *   <li>Ends without such a request. They make no part suspect.
 * </ul>
 *
 * <p>After its quarantine a part is on probation: one end renews the quarantine, for twice the time
 * each, and a success clears the part. Memory is bounded by {@link QuarantineRules}. Not
 * thread-safe.
 */
public final class PartQuarantine {
  /** Prefers parts not known to be sound, then the most ends, then the deepest in the prompt. */
  private static final Comparator<Suspicion> MOST_SUSPECT =
      Comparator.comparing(Suspicion::knownSound)
          .reversed()
          .thenComparingInt(Suspicion::endCount)
          .thenComparingInt(Suspicion::depth)
          .thenComparing(suspicion -> suspicion.part().value());

  private final QuarantineRules rules;
  private final SoundParts soundParts;
  private final List<RecordedEnd> ends = new ArrayList<>();
  private final Map<PromptPartId, Entry> entries = new LinkedHashMap<>();
  private final List<QuarantineChange> changes = new ArrayList<>();
  private boolean unsettled;

  /**
   * A part that keeps a request from all backend servers.
   *
   * @param part the part
   * @param remainingNanos the time until its quarantine ends; above 0
   */
  public record Verdict(PromptPartId part, long remainingNanos) {
    /** Checks the components. */
    public Verdict {
      checkNotNull(part, "part");
      checkArgument(remainingNanos > 0, "remainingNanos must be positive, not %s", remainingNanos);
    }
  }

  /** A part in quarantine, and on probation after that. */
  private record Entry(PromptPartId part, long startNanos, long untilNanos, boolean onProbation) {
    boolean isInForce(long nowNanos) {
      return !onProbation && nowNanos - untilNanos < 0;
    }

    long durationNanos() {
      return untilNanos - startNanos;
    }
  }

  /** How many ends a part explains. */
  private record Suspicion(PromptPartId part, boolean knownSound, int endCount, int depth) {}

  /** One end of a backend server, with all reports about it. */
  private static final class RecordedEnd {
    final ServerEnd report;
    final long reportedNanos;
    final Set<HostId> hosts = new LinkedHashSet<>();
    final Map<PromptPartId, Integer> depths = new LinkedHashMap<>();
    boolean explained;

    RecordedEnd(ServerEnd report, long reportedNanos) {
      this.report = report;
      this.reportedNanos = reportedNanos;
    }

    long nanos() {
      return report.endNanos();
    }
  }

  /** Creates a quarantine without parts. */
  public PartQuarantine(QuarantineRules rules) {
    this.rules = checkNotNull(rules, "rules");
    this.soundParts = new SoundParts(rules.maxSoundParts());
  }

  /** Returns the first of the given parts that is in quarantine. */
  public Optional<Verdict> find(Iterable<PromptPartId> parts, long nowNanos) {
    if (entries.isEmpty()) {
      return Optional.empty();
    }
    for (PromptPartId part : parts) {
      Entry entry = entries.get(part);
      if (entry != null && entry.isInForce(nowNanos)) {
        return Optional.of(new Verdict(part, entry.untilNanos() - nowNanos));
      }
    }
    return Optional.empty();
  }

  /** Returns the number of parts in quarantine. */
  public int count(long nowNanos) {
    return (int) entries.values().stream().filter(entry -> entry.isInForce(nowNanos)).count();
  }

  /**
   * Records that a backend server began to answer a request with the given parts.
   *
   * @param placedNanos when the request got its slot; a part in quarantine is cleared only by a
   *     request that was sent after the last end
   */
  public void seenSound(Iterable<PromptPartId> parts, long placedNanos, long nowNanos) {
    soundParts.seen(parts, nowNanos);
    if (entries.isEmpty()) {
      return;
    }
    for (PromptPartId part : parts) {
      Entry entry = entries.get(part);
      if (entry != null && placedNanos - lastEndNanos(entry) > 0) {
        changes.add(change(QuarantineChange.Kind.CLEARED, entry));
        entries.remove(part);
      }
    }
  }

  /** Records a report of an end of a backend server; a repeated report changes nothing. */
  public void reported(ServerEnd end, long nowNanos) {
    soundParts.seen(end.soundNanos());
    if (nowNanos - end.endNanos() > rules.endMemory().toNanos()) {
      return;
    }
    RecordedEnd recorded = recordOf(end).orElseGet(() -> record(end, nowNanos));
    recorded.hosts.add(end.host());
    for (int depth = 0; depth < end.parts().size(); depth++) {
      PromptPartId part = end.parts().get(depth);
      if (recorded.depths.size() < rules.maxPartsPerEnd() || recorded.depths.containsKey(part)) {
        recorded.depths.merge(part, depth, Math::max);
      }
      Entry entry = entries.get(part);
      recorded.explained |= entry != null && entry.isInForce(nowNanos);
    }
    unsettled = true;
  }

  /**
   * Adopts a quarantine that another host decided, or the same host before a restart. It may be
   * over already; then the part is on probation.
   *
   * @param durationNanos how long the whole quarantine lasts
   * @param untilNanos when it ends
   */
  public void adopt(PromptPartId part, long durationNanos, long untilNanos, long nowNanos) {
    checkArgument(durationNanos > 0, "durationNanos must be positive, not %s", durationNanos);
    Entry known = entries.get(part);
    if (known != null && known.untilNanos() - untilNanos >= 0) {
      return;
    }
    put(new Entry(part, untilNanos - durationNanos, untilNanos, false));
    explainEnds(part);
  }

  /** Lifts a quarantine, and forgets all that made the part suspect. */
  public void lift(PromptPartId part) {
    entries.remove(part);
    ends.forEach(end -> end.depths.remove(part));
  }

  /**
   * Decides on all parts that are suspect by now.
   *
   * @return what has changed since the last call
   */
  public ImmutableList<QuarantineChange> decide(long nowNanos) {
    ends.removeIf(end -> nowNanos - end.nanos() > rules.endMemory().toNanos());
    endQuarantines(nowNanos);
    if (unsettled) {
      unsettled = ends.stream().anyMatch(end -> !isSettled(end, nowNanos));
      renewQuarantines(nowNanos);
      correctQuarantines(nowNanos);
      for (Optional<Suspicion> worst = mostSuspect(nowNanos);
          worst.isPresent();
          worst = mostSuspect(nowNanos)) {
        quarantine(
            QuarantineChange.Kind.STARTED,
            worst.get().part(),
            rules.duration().toNanos(),
            nowNanos);
      }
    }
    ImmutableList<QuarantineChange> result = ImmutableList.copyOf(changes);
    changes.clear();
    return result;
  }

  /** Returns the number of remembered ends. */
  int endCount() {
    return ends.size();
  }

  /** Returns the number of parts that are remembered as sound. */
  int soundPartCount() {
    return soundParts.size();
  }

  private Optional<RecordedEnd> recordOf(ServerEnd report) {
    return ends.stream()
        .filter(end -> end.report.backend().equals(report.backend()))
        .filter(end -> Math.abs(end.nanos() - report.endNanos()) < rules.sameEnd().toNanos())
        .findFirst();
  }

  private RecordedEnd record(ServerEnd report, long nowNanos) {
    RecordedEnd created = new RecordedEnd(report, nowNanos);
    ends.add(created);
    ends.sort(Comparator.comparingLong(end -> end.nanos() - nowNanos));
    if (ends.size() > rules.maxEnds()) {
      ends.remove(0);
    }
    return created;
  }

  private boolean isSettled(RecordedEnd end, long nowNanos) {
    return nowNanos - end.reportedNanos >= rules.settleTime().toNanos();
  }

  private void endQuarantines(long nowNanos) {
    for (Entry entry : ImmutableList.copyOf(entries.values())) {
      long sinceNanos = nowNanos - entry.untilNanos();
      if (sinceNanos >= rules.probation().toNanos()) {
        entries.remove(entry.part());
        changes.add(change(QuarantineChange.Kind.PROBATION_ENDED, entry));
      } else if (sinceNanos >= 0 && !entry.onProbation()) {
        entries.put(
            entry.part(), new Entry(entry.part(), entry.startNanos(), entry.untilNanos(), true));
        changes.add(change(QuarantineChange.Kind.ENDED, entry));
      }
    }
  }

  private void renewQuarantines(long nowNanos) {
    for (Entry entry : ImmutableList.copyOf(entries.values())) {
      if (entry.onProbation() && lastEndNanos(entry) - entry.untilNanos() >= 0) {
        long doubled = Math.min(rules.maxDuration().toNanos(), 2 * entry.durationNanos());
        quarantine(QuarantineChange.Kind.RENEWED, entry.part(), doubled, nowNanos);
      }
    }
  }

  /**
   * Replaces a part by another one that was at all ends under it and at one more. Parts that were
   * at the same ends can't be told apart before.
   */
  private void correctQuarantines(long nowNanos) {
    for (Entry entry : ImmutableList.copyOf(entries.values())) {
      ImmutableList<RecordedEnd> under =
          ends.stream()
              .filter(end -> end.depths.containsKey(entry.part()))
              .collect(ImmutableList.toImmutableList());
      if (!entry.isInForce(nowNanos) || under.size() < rules.unknownPartEnds()) {
        continue;
      }
      Optional<PromptPartId> better =
          ends.stream()
              .filter(end -> !end.depths.containsKey(entry.part()) && isSettled(end, nowNanos))
              .flatMap(end -> end.depths.keySet().stream())
              .filter(part -> soundParts.lastSeenNanos(part).isEmpty())
              .filter(part -> !entries.containsKey(part))
              .filter(part -> under.stream().allMatch(end -> end.depths.containsKey(part)))
              .findFirst();
      if (better.isPresent()) {
        changes.add(change(QuarantineChange.Kind.CLEARED, entry));
        entries.remove(entry.part());
        quarantine(
            QuarantineChange.Kind.STARTED, better.get(), rules.duration().toNanos(), nowNanos);
      }
    }
  }

  private void quarantine(
      QuarantineChange.Kind kind, PromptPartId part, long durationNanos, long nowNanos) {
    Entry entry = new Entry(part, nowNanos, nowNanos + durationNanos, false);
    put(entry);
    changes.add(change(kind, entry));
    explainEnds(part);
  }

  private void put(Entry entry) {
    entries.remove(entry.part());
    entries.put(entry.part(), entry);
    if (entries.size() > rules.maxQuarantinedParts()) {
      entries.remove(entries.keySet().iterator().next());
    }
  }

  private void explainEnds(PromptPartId part) {
    ends.forEach(end -> end.explained |= end.depths.containsKey(part));
  }

  private QuarantineChange change(QuarantineChange.Kind kind, Entry entry) {
    ImmutableList.Builder<QuarantineChange.Evidence> evidence = ImmutableList.builder();
    for (RecordedEnd end : ends) {
      if (end.depths.containsKey(entry.part())) {
        evidence.add(
            new QuarantineChange.Evidence(
                end.report.backend(), ImmutableList.copyOf(end.hosts), end.nanos()));
      }
    }
    return new QuarantineChange(
        kind, entry.part(), entry.untilNanos(), entry.durationNanos(), evidence.build());
  }

  /**
   * Returns when a server last ended under a part; the start of its quarantine if none is known.
   */
  private long lastEndNanos(Entry entry) {
    long last = entry.startNanos();
    for (RecordedEnd end : ends) {
      if (end.depths.containsKey(entry.part()) && end.nanos() - last > 0) {
        last = end.nanos();
      }
    }
    return last;
  }

  private Optional<Suspicion> mostSuspect(long nowNanos) {
    ImmutableList<RecordedEnd> unexplained =
        ends.stream()
            .filter(end -> !end.explained && isSettled(end, nowNanos))
            .collect(ImmutableList.toImmutableList());
    if (unexplained.size() < rules.unknownPartEnds()) {
      return Optional.empty();
    }
    ImmutableList<ImmutableList<RecordedEnd>> moments = moments(unexplained);
    Set<PromptPartId> parts = new LinkedHashSet<>();
    unexplained.forEach(end -> parts.addAll(end.depths.keySet()));
    return parts.stream()
        .map(part -> suspicion(part, moments))
        .flatMap(Optional::stream)
        .max(MOST_SUSPECT);
  }

  /** Groups ends, which are ordered by time, by their moments. */
  private ImmutableList<ImmutableList<RecordedEnd>> moments(ImmutableList<RecordedEnd> ordered) {
    ImmutableList.Builder<ImmutableList<RecordedEnd>> moments = ImmutableList.builder();
    List<RecordedEnd> moment = new ArrayList<>();
    for (RecordedEnd end : ordered) {
      if (!moment.isEmpty() && end.nanos() - moment.get(0).nanos() > rules.sameMoment().toNanos()) {
        moments.add(ImmutableList.copyOf(moment));
        moment.clear();
      }
      moment.add(end);
    }
    return moments.add(ImmutableList.copyOf(moment)).build();
  }

  /**
   * Returns the suspicion against a part, if it is enough for a quarantine. Ends of one moment
   * count one by one only if the part was at all of the servers: a part that was at some of them is
   * rather a bystander of what ended them all.
   */
  private Optional<Suspicion> suspicion(
      PromptPartId part, ImmutableList<ImmutableList<RecordedEnd>> moments) {
    OptionalLong sound = soundParts.lastSeenNanos(part);
    Set<FailureDomainId> domains = new HashSet<>();
    int endCount = 0;
    int momentCount = 0;
    int depth = 0;
    for (ImmutableList<RecordedEnd> moment : moments) {
      int count = 0;
      for (RecordedEnd end : moment) {
        if (end.depths.containsKey(part)
            && (sound.isEmpty() || end.nanos() - sound.getAsLong() > 0)) {
          count++;
          depth = Math.max(depth, end.depths.get(part));
          domains.add(end.report.domain());
        }
      }
      endCount += count == moment.size() ? count : Math.min(count, 1);
      momentCount += Math.min(count, 1);
    }
    boolean enough =
        sound.isPresent()
            ? endCount >= rules.soundPartEnds() && momentCount >= rules.soundPartMoments()
            : endCount >= rules.unknownPartEnds() && (momentCount > 1 || domains.size() > 1);
    return enough
        ? Optional.of(new Suspicion(part, sound.isPresent(), endCount, depth))
        : Optional.empty();
  }
}
