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
 * Lets threads wait for the permits of a {@link PermitScheduler}, and cancels batch requests whose
 * permits are revoked.
 *
 * <p>Thread-safe. No lock is held while the scheduler's lock is acquired.
 */
public final class PermitQueue implements AutoCloseable {
  private static final Duration INTERVAL = Duration.ofMillis(50);

  private final PermitScheduler scheduler;
  private final LongSupplier nanoClock;
  private final AtomicLong nextRequestId = new AtomicLong();
  private final Map<Long, CompletableFuture<Permit>> waiting = new ConcurrentHashMap<>();
  private final Map<Long, Runnable> batchCancels = new ConcurrentHashMap<>();
  private final PeriodicTask assignTask;

  /** Creates a queue for the scheduler's permits. */
  public PermitQueue(PermitScheduler scheduler, LongSupplier nanoClock) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.assignTask = new PeriodicTask("permits", INTERVAL, this::assignPermits);
  }

  /** Starts to assign the permits that become free by the passage of time alone. */
  public void start() {
    assignTask.start();
  }

  /** Returns a new identifier for a permit request. */
  public long newRequestId() {
    return nextRequestId.incrementAndGet();
  }

  /**
   * Waits for an online permit.
   *
   * @return the permit, or empty if none became free within the timeout
   */
  public Optional<Permit> acquire(PermitRequest request, Duration timeout)
      throws InterruptedException {
    CompletableFuture<Permit> future = new CompletableFuture<>();
    waiting.put(request.id(), future);
    try {
      Optional<Permit> immediate = scheduler.request(request, nanoClock.getAsLong());
      if (immediate.isPresent()) {
        return immediate;
      }
      assignPermits();
      return Optional.of(future.get(timeout.toMillis(), TimeUnit.MILLISECONDS));
    } catch (TimeoutException e) {
      return scheduler.withdraw(request)
          ? Optional.empty()
          : Optional.ofNullable(awaitAssigned(future));
    } catch (InterruptedException e) {
      if (!scheduler.withdraw(request)) {
        Optional.ofNullable(awaitAssigned(future))
            .ifPresent(permit -> release(permit, CallResult.CANCELLED));
      }
      throw e;
    } catch (ExecutionException e) {
      throw new IllegalStateException("the future of a permit failed", e);
    } finally {
      waiting.remove(request.id());
    }
  }

  /**
   * Acquires a batch permit if online requests leave one free.
   *
   * @param cancel cancels the batch request when its permit is revoked
   */
  public Optional<Permit> tryAcquireForBatch(PermitRequest request, Runnable cancel) {
    Optional<Permit> permit = scheduler.tryAcquireForBatch(request, nanoClock.getAsLong());
    permit.ifPresent(acquired -> batchCancels.put(acquired.id(), cancel));
    return permit;
  }

  /** Releases a permit and records the result of its request. */
  public void release(Permit permit, CallResult result) {
    batchCancels.remove(permit.id());
    scheduler.release(permit, result, nanoClock.getAsLong());
    if (!waiting.isEmpty()) {
      assignPermits();
    }
  }

  /** Assigns free permits to waiting requests, and revokes batch permits that they need. */
  public void assignPermits() {
    long nowNanos = nanoClock.getAsLong();
    for (Assignment assignment : scheduler.assign(nowNanos)) {
      CompletableFuture<Permit> future = waiting.get(assignment.requestId());
      if (future == null) {
        scheduler.release(assignment.permit(), CallResult.CANCELLED, nowNanos);
      } else {
        future.complete(assignment.permit());
      }
    }
    for (Permit permit : scheduler.collectRevocations(nowNanos)) {
      Runnable cancel = batchCancels.get(permit.id());
      if (cancel != null) {
        cancel.run();
      }
    }
  }

  @Override
  public void close() {
    assignTask.close();
  }

  /** Returns the permit that was assigned as the wait ended; its future completes at once. */
  private static Permit awaitAssigned(CompletableFuture<Permit> future) {
    return future.join();
  }
}
