package org.trefoilbarrow.transport.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.backend.Assignment;
import org.trefoilbarrow.coordination.backend.CallResult;
import org.trefoilbarrow.coordination.backend.Permit;
import org.trefoilbarrow.coordination.backend.PermitRequest;
import org.trefoilbarrow.coordination.backend.PermitScheduler;
import org.trefoilbarrow.transport.platform.PeriodicTask;

/**
 * Lets threads wait for permits, and tells batch work to give permits back.
 *
 * <p>Thread-safe. No lock is held while the scheduler's is taken.
 */
public final class PermitQueue implements AutoCloseable {
  private static final Duration TICK = Duration.ofMillis(50);

  private final PermitScheduler scheduler;
  private final LongSupplier nanoClock;
  private final AtomicLong nextDemandId = new AtomicLong();
  private final Map<Long, CompletableFuture<Permit>> waiting = new ConcurrentHashMap<>();
  private final Map<Long, Runnable> batchCancels = new ConcurrentHashMap<>();
  private final PeriodicTask ticker;

  /** Creates a gate to the scheduler's permits. */
  public PermitQueue(PermitScheduler scheduler, LongSupplier nanoClock) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.ticker = new PeriodicTask("permits", TICK, this::assignPermits);
  }

  /** Begins to look for permits that come free by time alone. */
  public void start() {
    ticker.start();
  }

  /** Returns a new identifier for a demand. */
  public long newRequestId() {
    return nextDemandId.incrementAndGet();
  }

  /**
   * Waits for an online permit.
   *
   * @return the permit, or empty if there was none in time
   */
  public Optional<Permit> acquire(PermitRequest demand, Duration longest)
      throws InterruptedException {
    CompletableFuture<Permit> future = new CompletableFuture<>();
    waiting.put(demand.id(), future);
    try {
      Optional<Permit> atOnce = scheduler.request(demand, nanoClock.getAsLong());
      if (atOnce.isPresent()) {
        return atOnce;
      }
      assignPermits();
      return Optional.of(future.get(longest.toMillis(), TimeUnit.MILLISECONDS));
    } catch (TimeoutException e) {
      return scheduler.withdraw(demand) ? Optional.empty() : Optional.ofNullable(lateGrant(future));
    } catch (InterruptedException e) {
      if (!scheduler.withdraw(demand)) {
        Optional.ofNullable(lateGrant(future))
            .ifPresent(permit -> release(permit, CallResult.CANCELLED));
      }
      throw e;
    } catch (ExecutionException e) {
      throw new IllegalStateException("a permit cannot fail", e);
    } finally {
      waiting.remove(demand.id());
    }
  }

  /**
   * Takes a batch permit if online work leaves one.
   *
   * @param cancel ends the batch work when its permit is revoked
   */
  public Optional<Permit> tryAcquireForBatch(PermitRequest demand, Runnable cancel) {
    Optional<Permit> permit = scheduler.tryAcquireForBatch(demand, nanoClock.getAsLong());
    permit.ifPresent(taken -> batchCancels.put(taken.id(), cancel));
    return permit;
  }

  /** Ends the use of a permit. */
  public void release(Permit permit, CallResult result) {
    batchCancels.remove(permit.id());
    scheduler.release(permit, result, nanoClock.getAsLong());
    if (!waiting.isEmpty()) {
      assignPermits();
    }
  }

  /** Gives free permits to those that wait, and revokes batch permits that they need. */
  public void assignPermits() {
    long now = nanoClock.getAsLong();
    for (Assignment assignment : scheduler.assign(now)) {
      CompletableFuture<Permit> future = waiting.get(assignment.requestId());
      if (future == null) {
        scheduler.release(assignment.permit(), CallResult.CANCELLED, now);
      } else {
        future.complete(assignment.permit());
      }
    }
    for (Permit permit : scheduler.collectRevocations(now)) {
      Runnable cancel = batchCancels.get(permit.id());
      if (cancel != null) {
        cancel.run();
      }
    }
  }

  @Override
  public void close() {
    ticker.close();
  }

  /** Returns the permit that was given while the wait ended; the giver completes it at once. */
  private static Permit lateGrant(CompletableFuture<Permit> future) {
    return future.join();
  }
}
