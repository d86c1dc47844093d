package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ServiceException;

/**
 * Whether this host serves callers: it does unless it is not ready yet, isolated, or stopped.
 *
 * <p>Thread-safe.
 */
public final class HostServingState {
  private final BooleanSupplier isIsolated;
  private final BooleanSupplier hasShares;
  private final AtomicBoolean ready = new AtomicBoolean();
  private final AtomicBoolean leaving = new AtomicBoolean();
  private final AtomicBoolean stopped = new AtomicBoolean();

  /**
   * Creates the state of a host that is not ready yet.
   *
   * @param isIsolated returns whether the host is isolated from the platform and its peers
   * @param hasShares returns whether the host may use any share; without one it has no permits
   */
  public HostServingState(BooleanSupplier isIsolated, BooleanSupplier hasShares) {
    this.isIsolated = checkNotNull(isIsolated, "isIsolated");
    this.hasShares = checkNotNull(hasShares, "hasShares");
  }

  /** Records that the host knows the configuration. */
  public void setReady() {
    ready.set(true);
  }

  /** Records that the host is leaving: it is reported as unhealthy but still serves callers. */
  public void setLeaving() {
    leaving.set(true);
  }

  /** Records that the host accepts no new requests. */
  public void setStopped() {
    stopped.set(true);
  }

  /** Returns whether the host is leaving or has left. */
  public boolean isLeaving() {
    return leaving.get();
  }

  /** Returns whether the balancer should send callers to this host. */
  public boolean isHealthy() {
    boolean serves = ready.get() && !leaving.get() && !isIsolated.getAsBoolean();
    return serves && hasShares.getAsBoolean();
  }

  /**
   * Checks that the host serves callers.
   *
   * @throws ServiceException if it does not
   */
  void checkServing() {
    if (!ready.get()) {
      throw new ServiceException(
          ErrorKind.HOST_NOT_READY,
          "the host is not ready: it has not received the configuration yet");
    }
    if (stopped.get()) {
      throw new ServiceException(ErrorKind.SHUTTING_DOWN, "the host is shutting down");
    }
    if (isIsolated.getAsBoolean()) {
      throw new ServiceException(
          ErrorKind.HOST_ISOLATED,
          "the host is isolated: neither the platform nor most of its peers respond");
    }
  }
}
