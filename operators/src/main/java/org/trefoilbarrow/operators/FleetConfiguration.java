package org.trefoilbarrow.operators;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A complete configuration of a fleet: an immutable list of entities.
 *
 * <pre>{@code
 * FleetConfiguration configuration =
 *     FleetConfiguration.builder()
 *         .add("split-a", new FailureDomainSpec("dalmatia", true))
 *         .add("inspectors", OrganisationSpec.of(50, 100))
 *         .build();
 * System.out.println(configuration.toJson());
 * }</pre>
 *
 * @param entities the entities, in the order in which they are applied
 */
public record FleetConfiguration(@JsonProperty("entities") List<ConfigurationEntity> entities) {
  /** Validates the components and copies mutable ones. */
  public FleetConfiguration {
    checkArgument(entities != null, "the configuration has no field \"entities\"");
    entities = ImmutableList.copyOf(entities);
    Set<EntityReference> seen = new HashSet<>();
    for (ConfigurationEntity entity : entities) {
      checkArgument(
          seen.add(entity.reference()), "entity \"%s\" appears twice", entity.reference());
    }
  }

  /** Returns a builder without entities. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the configuration that the given JSON encodes.
   *
   * @throws IllegalArgumentException if the text is not a valid configuration
   */
  public static FleetConfiguration fromJson(String json) {
    return ConfigurationJson.read(json, FleetConfiguration.class);
  }

  /** Returns the configuration as indented JSON, as {@code trefoilbarrow apply} reads it. */
  public String toJson() {
    return ConfigurationJson.print(this);
  }

  /** Builds a configuration entity by entity. Not thread-safe. */
  public static final class Builder {
    private final ImmutableList.Builder<ConfigurationEntity> entities = ImmutableList.builder();

    private Builder() {}

    /** Adds an entity; its kind follows from the type of its specification. */
    public Builder add(String name, EntitySpec spec) {
      entities.add(ConfigurationEntity.of(name, spec));
      return this;
    }

    /**
     * Returns the configuration.
     *
     * @throws IllegalArgumentException if an entity was added twice
     */
    public FleetConfiguration build() {
      return new FleetConfiguration(entities.build());
    }
  }
}
