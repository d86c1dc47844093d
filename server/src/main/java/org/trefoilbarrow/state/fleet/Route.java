package org.trefoilbarrow.state.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * A route of the configuration.
 *
 * @param name the route's name
 * @param hostName the host name that callers address
 * @param pathPrefix the prefix of the paths that the route takes
 * @param repeat what may be repeated
 * @param timeoutMillis how long a request may be kept waiting
 * @param latencyTargetMillis the time in which an answer is worth most
 * @param priority the rank, 0 is the highest
 * @param targets the services, each with its weight
 * @param maxAttempts the most backend servers to which one request is sent
 * @param open whether no key is asked for
 * @param eventGapMillis the longest pause between events of a stream that is still on time
 * @param runTargetMillis how long after its submission a batch job is due
 * @param retentionMillis how long after its submission an item may be given up
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

  /** What a request of a route allows after it may have run. */
  public enum RequestKind {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /** The request may run once. */
    ONCE,
    /** An event stream that may run once. */
    STREAM_ONCE,
    /** An event stream that another backend server may continue. */
    STREAM_RESUMABLE,
    /** Batch jobs are submitted here. */
    BATCH
  }

  /**
   * A service that a route sends to.
   *
   * @param service the service's name
   * @param weight its part against the other targets of the route
   */
  public record WeightedTarget(String service, int weight) {}

  /** Checks the components, and copies those that could change. */
  public Route {
    checkNotNull(name, "name");
    checkNotNull(hostName, "hostName");
    checkNotNull(pathPrefix, "pathPrefix");
    checkNotNull(requestKind, "requestKind");
    checkArgument(!targets.isEmpty(), "route \"%s\" has no service", name);
    targets = ImmutableList.copyOf(targets);
  }

  /** Returns the service for a request, the same for equal hashes of one request. */
  public String selectService(int hash) {
    int total = targets.stream().mapToInt(WeightedTarget::weight).sum();
    int point = total <= 0 ? 0 : Math.floorMod(hash, total);
    for (WeightedTarget target : targets) {
      point -= target.weight();
      if (point < 0) {
        return target.service();
      }
    }
    return targets.get(0).service();
  }

  /** Returns whether answers are event streams. */
  public boolean isStreaming() {
    return requestKind == RequestKind.STREAM_ONCE || requestKind == RequestKind.STREAM_RESUMABLE;
  }

  /** Returns whether a request that may have run may be sent again. */
  public boolean isRetryable() {
    return requestKind == RequestKind.IDEMPOTENT || requestKind == RequestKind.STREAM_RESUMABLE;
  }
}
