package org.trefoilbarrow.operators;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.regex.Pattern;

/**
 * One named entity of a configuration.
 *
 * @param kind the entity's kind, which decides the type of {@code spec}
 * @param name the entity's name, unique within its kind
 * @param spec the entity's specification
 */
public record ConfigurationEntity(
    EntityKind kind,
    String name,
    @JsonTypeInfo(
            use = JsonTypeInfo.Id.NAME,
            include = JsonTypeInfo.As.EXTERNAL_PROPERTY,
            property = "kind")
        @JsonSubTypes({
          @JsonSubTypes.Type(value = FailureDomainSpec.class, name = "failure-domains"),
          @JsonSubTypes.Type(value = BackendServerSpec.class, name = "backend-servers"),
          @JsonSubTypes.Type(value = OrganisationSpec.class, name = "organisations"),
          @JsonSubTypes.Type(value = KeySpec.class, name = "keys"),
          @JsonSubTypes.Type(value = RouteSpec.class, name = "routes"),
          @JsonSubTypes.Type(value = BatchRuleSpec.class, name = "batch-rules")
        })
        EntitySpec spec) {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

  /** Validates the components. */
  public ConfigurationEntity {
    checkNotNull(spec, "spec");
    kind = spec.kind();
    checkArgument(isValidName(name), "name \"%s\" does not match %s", name, NAME);
  }

  /** Returns an entity whose kind follows from the type of its specification. */
  public static ConfigurationEntity of(String name, EntitySpec spec) {
    return new ConfigurationEntity(spec.kind(), name, spec);
  }

  /** Returns whether the given text is a valid name of an entity. */
  public static boolean isValidName(String name) {
    return NAME.matcher(name).matches();
  }

  /** Returns a reference to this entity. */
  @JsonIgnore
  public EntityReference reference() {
    return new EntityReference(kind, name);
  }
}
