package org.trefoilbarrow.operators;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Describes an organisation and its limits over all hosts together.
 *
 * @param requestsPerSecond the sustained rate, in requests per second
 * @param burst the number of requests that may be admitted at once after an idle period
 * @param weight the organisation's fraction of a contended backend server, relative to the weights
 *     of the others; 0 for the default of 1
 * @param maxQueuedRequests the maximum number of requests that wait at one host at once; 0 for the
 *     default of 64
 */
public record OrganisationSpec(
    double requestsPerSecond, int burst, int weight, int maxQueuedRequests) implements EntitySpec {
  private static final int DEFAULT_MAX_QUEUED_REQUESTS = 64;

  /** Validates the components. */
  public OrganisationSpec {
    checkArgument(
        requestsPerSecond > 0, "requestsPerSecond must be positive: %s", requestsPerSecond);
    checkArgument(burst > 0, "burst must be positive: %s", burst);
    weight = weight == 0 ? 1 : weight;
    maxQueuedRequests = maxQueuedRequests == 0 ? DEFAULT_MAX_QUEUED_REQUESTS : maxQueuedRequests;
    checkArgument(weight > 0, "weight must be positive: %s", weight);
    checkArgument(
        maxQueuedRequests > 0, "maxQueuedRequests must be positive: %s", maxQueuedRequests);
  }

  /** Returns an organisation with the given rate and burst, weight 1 and the default queue. */
  public static OrganisationSpec of(double requestsPerSecond, int burst) {
    return new OrganisationSpec(requestsPerSecond, burst, 1, DEFAULT_MAX_QUEUED_REQUESTS);
  }

  @Override
  public EntityKind kind() {
    return EntityKind.ORGANISATION;
  }
}
