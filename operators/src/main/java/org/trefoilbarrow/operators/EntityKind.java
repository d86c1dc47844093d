package org.trefoilbarrow.operators;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.Optional;

/** The kinds of configuration entities; a kind refers only to kinds that precede it. */
public enum EntityKind {
  FAILURE_DOMAIN("failure-domains", FailureDomainSpec.class),
  BACKEND_SERVER("backend-servers", BackendServerSpec.class),
  ORGANISATION("organisations", OrganisationSpec.class),
  KEY("keys", KeySpec.class),
  ROUTE("routes", RouteSpec.class),
  BATCH_RULE("batch-rules", BatchRuleSpec.class);

  private final String collection;
  private final Class<? extends EntitySpec> specType;

  EntityKind(String collection, Class<? extends EntitySpec> specType) {
    this.collection = collection;
    this.specType = specType;
  }

  /** Returns the name of the kind in paths and in JSON, such as {@code organisations}. */
  @JsonValue
  public String collection() {
    return collection;
  }

  /** Returns the type of the specification of entities of this kind. */
  public Class<? extends EntitySpec> specType() {
    return specType;
  }

  /** Returns the kind whose collection has the given name, if there is one. */
  public static Optional<EntityKind> ofCollection(String collection) {
    return Arrays.stream(values()).filter(kind -> kind.collection.equals(collection)).findFirst();
  }

  @JsonCreator
  static EntityKind fromJson(String collection) {
    return ofCollection(collection)
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    String.format(
                        "kind \"%s\" does not exist; valid are %s",
                        collection, Arrays.stream(values()).map(EntityKind::collection).toList())));
  }
}
