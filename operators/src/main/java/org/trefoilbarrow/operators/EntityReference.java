package org.trefoilbarrow.operators;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Refers to an entity by its kind and name.
 *
 * @param kind the entity's kind
 * @param name the entity's name, unique within its kind
 */
public record EntityReference(EntityKind kind, String name) {
  /** Validates the components. */
  public EntityReference {
    checkNotNull(kind, "kind");
    checkNotNull(name, "name");
  }

  /** Returns the name of the entity's object in the platform's configuration collection. */
  public String objectName() {
    return kind.collection() + "/" + name;
  }

  @Override
  public String toString() {
    return objectName();
  }
}
