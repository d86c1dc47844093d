package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ServiceException;

/** Whether this host serves callers: not before it is ready, nor cut off, nor after it left. */
public final class HostServingState {
  private final BooleanSupplier isIsolated;
  private final BooleanSupplier hasShares;
  private final AtomicBoolean ready = new AtomicBoolean();
  private final AtomicBoolean leaving = new AtomicBoolean();
  private final AtomicBoolean stopped = new AtomicBoolean();

  /**
   * Creates the condition of a host that is not ready yet.
   *
   * @param isIsolated tells whether the host is cut off from the platform and its peers
   * @param hasShares tells whether the host may use any share, without which it has no permits
   */
  public HostServingState(BooleanSupplier isIsolated, BooleanSupplier hasShares) {
    this.isIsolated = checkNotNull(isIsolated, "isIsolated");
    this.hasShares = checkNotNull(hasShares, "hasShares");
  }

  /** Records that the host knows the configuration. */
  public void setReady() {
    ready.set(true);
  }

  /** Records that the host leaves: the balancer is told, callers are still served. */
  public void setLeaving() {
    leaving.set(true);
  }

  /** Records that the host takes no new requests. */
  public void setStopped() {
    stopped.set(true);
  }

  /** Returns whether the host leaves or has left. */
  public boolean isLeaving() {
    return leaving.get();
  }

  /** Returns whether the balancer should send callers here. */
  public boolean isHealthy() {
    boolean serves = ready.get() && !leaving.get() && !isIsolated.getAsBoolean();
    return serves && hasShares.getAsBoolean();
  }

  /**
   * Checks that callers are served.
   *
   * @throws ServiceException if they are not
   */
  void checkServing() {
    if (!ready.get()) {
      throw new ServiceException(
          ErrorKind.HOST_ISOLATED, "the host does not know the configuration yet");
    }
    if (stopped.get()) {
      throw new ServiceException(ErrorKind.SHUTTING_DOWN, "the host is shutting down");
    }
    if (isIsolated.getAsBoolean()) {
      throw new ServiceException(
          ErrorKind.HOST_ISOLATED, "the host hears neither the platform nor most of its peers");
    }
  }
}
