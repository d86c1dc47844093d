package org.trefoilbarrow.coordination.election;

import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.trefoilbarrow.protocol.HostId;

/**
 * The platform's record of the newest term in a simulation. Calls take time; they may be refused,
 * lose their answers, or take effect seconds later if the record is still the one that was read.
 */
final class SimulatedStore {
  private static final long MAX_CALL_MILLIS = 15;
  private static final long CALL_TIMEOUT_MILLIS = 1200;
  private static final long MAX_LATE_MILLIS = 4000;

  private final EventQueue queue;
  private final Random random;
  private final Set<HostId> refused = new HashSet<>();
  private Optional<DispatchTerm> record = Optional.empty();
  private boolean down;
  private double lossProbability;
  private long extraMillis;

  SimulatedStore(EventQueue queue, Random random) {
    this.queue = queue;
    this.random = random;
  }

  Optional<DispatchTerm> record() {
    return record;
  }

  void setDown(boolean isDown) {
    down = isDown;
  }

  /** Sets the probability that a call takes effect without an answer. */
  void setLossProbability(double probability) {
    lossProbability = probability;
  }

  /** Makes each call slower. */
  void setExtraMillis(long millis) {
    extraMillis = millis;
  }

  /** Refuses all calls of a host until {@link #acceptAll}. */
  void refuse(HostId host) {
    refused.add(host);
  }

  void acceptAll() {
    refused.clear();
  }

  boolean answers(HostId host) {
    return !down && !refused.contains(host);
  }

  /** Claims a term as {@code TermStore} does: reads the record, then replaces it conditionally. */
  void claim(HostId host, DispatchTerm next, Consumer<Optional<DispatchTerm>> onResult) {
    queue.after(
        callMillis(),
        () -> {
          if (!answers(host) || isLost()) {
            queue.after(CALL_TIMEOUT_MILLIS, () -> onResult.accept(Optional.empty()));
            return;
          }
          Optional<DispatchTerm> read = record;
          if (read.isPresent() && read.get().number() >= next.number()) {
            queue.after(callMillis(), () -> onResult.accept(read));
            return;
          }
          queue.after(callMillis(), () -> write(host, read, next, onResult));
        });
  }

  private void write(
      HostId host,
      Optional<DispatchTerm> expected,
      DispatchTerm next,
      Consumer<Optional<DispatchTerm>> onResult) {
    if (!answers(host)) {
      onResult.accept(Optional.empty());
    } else if (isLost()) {
      queue.after(random.nextLong(MAX_LATE_MILLIS), () -> replace(expected, next));
      queue.after(CALL_TIMEOUT_MILLIS, () -> onResult.accept(Optional.empty()));
    } else {
      replace(expected, next);
      Optional<DispatchTerm> now = record;
      queue.after(callMillis(), () -> onResult.accept(now));
    }
  }

  private void replace(Optional<DispatchTerm> expected, DispatchTerm next) {
    if (record.equals(expected)) {
      record = Optional.of(next);
    }
  }

  private boolean isLost() {
    return random.nextDouble() < lossProbability;
  }

  private long callMillis() {
    return 1 + random.nextLong(MAX_CALL_MILLIS) + extraMillis;
  }
}
