package org.trefoilbarrow.state.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * A route of the configuration: which requests it matches, and how they are served.
 *
 * @param name the route's name
 * @param hostName the host name that callers address
 * @param pathPrefix the prefix of the paths that match
 * @param requestKind whether a request may be sent again, and the form of its response
 * @param timeoutMillis the time limit for a request, in milliseconds
 * @param latencyTargetMillis the target for the time until the response, in milliseconds
 * @param priority the priority; 0 is the highest
 * @param targets the services, each with its weight
 * @param maxAttempts the maximum number of backend servers to which one request is sent
 * @param open whether callers need no key
 * @param eventGapMillis the target for the time between two events of a stream, in milliseconds
 * @param runTargetMillis the time after its submission at which a batch job is due, in milliseconds
 * @param retentionMillis the time after its submission at which a batch job's item may be given up,
 *     in milliseconds
 */
public record Route(
    String name,
    String hostName,
    String pathPrefix,
    RequestKind requestKind,
    long timeoutMillis,
    long latencyTargetMillis,
    int priority,
    List<WeightedTarget> targets,
    int maxAttempts,
    boolean open,
    long eventGapMillis,
    long runTargetMillis,
    long retentionMillis) {

  /** Whether a request may be sent again after it may have run, and the form of its response. */
  public enum RequestKind {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /** The request may run once. */
    ONCE,
    /** The request may run once; its response is an event stream. */
    STREAM_ONCE,
    /** The response is an event stream that another backend server may resume. */
    STREAM_RESUMABLE,
    /** The request submits a batch job. */
    BATCH
  }

  /**
   * A service to which a route sends requests.
   *
   * @param service the service's name
   * @param weight its weight relative to the other targets of the route
   */
  public record WeightedTarget(String service, int weight) {}

  /** Validates the components and copies mutable ones. */
  public Route {
    checkNotNull(name, "name");
    checkNotNull(hostName, "hostName");
    checkNotNull(pathPrefix, "pathPrefix");
    checkNotNull(requestKind, "requestKind");
    checkArgument(!targets.isEmpty(), "route \"%s\" has no service", name);
    targets = ImmutableList.copyOf(targets);
  }

  /** Returns whether a request to the host name and path may use this route. */
  public boolean matches(String requestedHostName, String path) {
    return hostName.equals(requestedHostName) && path.startsWith(pathPrefix);
  }

  /** Selects a service by weight; equal hashes select the same service. */
  public String selectService(int hash) {
    int total = targets.stream().mapToInt(WeightedTarget::weight).sum();
    int remaining = total <= 0 ? 0 : Math.floorMod(hash, total);
    for (WeightedTarget target : targets) {
      remaining -= target.weight();
      if (remaining < 0) {
        return target.service();
      }
    }
    return targets.get(0).service();
  }

  /** Returns whether responses are event streams. */
  public boolean isStreaming() {
    return requestKind == RequestKind.STREAM_ONCE || requestKind == RequestKind.STREAM_RESUMABLE;
  }

  /** Returns whether a request that may have run may be sent again. */
  public boolean isRetryable() {
    return requestKind == RequestKind.IDEMPOTENT || requestKind == RequestKind.STREAM_RESUMABLE;
  }
}
