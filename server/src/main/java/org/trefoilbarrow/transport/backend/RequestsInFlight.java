package org.trefoilbarrow.transport.backend;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.trefoilbarrow.protocol.BackendServerId;

/**
 * The requests that wait for the first byte of their response, so that those on unresponsive
 * connections can be cancelled. One that may not be repeated is never cancelled. Thread-safe.
 */
final class RequestsInFlight {
  private final Set<InFlight> requests = ConcurrentHashMap.newKeySet();

  /** One request that waits for its response. */
  final class InFlight implements AutoCloseable {
    private final BackendServerId backend;
    private final HttpUriRequestBase request;
    private final boolean mayBeRepeated;
    private final long sentNanos;
    private volatile boolean unresponsive;

    private InFlight(
        BackendServerId backend,
        HttpUriRequestBase request,
        boolean mayBeRepeated,
        long sentNanos) {
      this.backend = backend;
      this.request = request;
      this.mayBeRepeated = mayBeRepeated;
      this.sentNanos = sentNanos;
    }

    /** Returns whether the request was cancelled because its connection was unresponsive. */
    boolean isUnresponsive() {
      return unresponsive;
    }

    @Override
    public void close() {
      requests.remove(this);
    }
  }

  InFlight register(
      BackendServerId backend, HttpUriRequestBase request, boolean mayBeRepeated, long nowNanos) {
    InFlight inFlight = new InFlight(backend, request, mayBeRepeated, nowNanos);
    requests.add(inFlight);
    return inFlight;
  }

  /** Cancels the requests to a backend server that were sent before a time and may be repeated. */
  void cancelSentBefore(BackendServerId backend, long nanos) {
    for (InFlight inFlight : requests) {
      boolean matches = inFlight.backend.equals(backend) && inFlight.sentNanos - nanos < 0;
      if (matches && inFlight.mayBeRepeated) {
        inFlight.unresponsive = true;
        inFlight.request.cancel();
      }
    }
  }
}
