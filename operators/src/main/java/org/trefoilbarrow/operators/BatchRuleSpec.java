package org.trefoilbarrow.operators;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;

/**
 * Describes the limits of an organisation's batch jobs.
 *
 * @param organisation the organisation to which the rule applies
 * @param maxItemsPerJob the maximum number of items in one job
 * @param maxAttemptsPerItem the maximum number of attempts at an item before it fails; 0 for the
 *     default of 3
 */
public record BatchRuleSpec(String organisation, int maxItemsPerJob, int maxAttemptsPerItem)
    implements EntitySpec {
  private static final int DEFAULT_MAX_ATTEMPTS = 3;

  /** Validates the components. */
  public BatchRuleSpec {
    checkNotNull(organisation, "organisation");
    checkArgument(maxItemsPerJob > 0, "maxItemsPerJob must be positive: %s", maxItemsPerJob);
    maxAttemptsPerItem = maxAttemptsPerItem == 0 ? DEFAULT_MAX_ATTEMPTS : maxAttemptsPerItem;
    checkArgument(
        maxAttemptsPerItem > 0, "maxAttemptsPerItem must be positive: %s", maxAttemptsPerItem);
  }

  @Override
  public EntityKind kind() {
    return EntityKind.BATCH_RULE;
  }

  @Override
  public List<EntityReference> references() {
    return List.of(new EntityReference(EntityKind.ORGANISATION, organisation));
  }
}
