package org.trefoilbarrow.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.operators.ConfigurationEntity;
import org.trefoilbarrow.operators.ConfigurationJson;
import org.trefoilbarrow.operators.EntityKind;
import org.trefoilbarrow.operators.EntityReference;
import org.trefoilbarrow.operators.EntitySpec;
import org.trefoilbarrow.operators.FleetConfiguration;

/**
 * The steps that change the current configuration to a desired one.
 *
 * @param steps the steps, ordered so that every reference is valid at each step
 */
record ConfigurationPlan(ImmutableList<Step> steps) {

  /** What a step does. */
  enum Action {
    CREATE("+"),
    UPDATE("~"),
    DELETE("-"),
    KEEP(" ");

    private final String sign;

    Action(String sign) {
      this.sign = sign;
    }

    String sign() {
      return sign;
    }
  }

  /**
   * One step.
   *
   * @param action what the step does
   * @param entity the desired entity, or the entity to delete
   * @param version the current version, or 0 if the entity does not exist
   */
  record Step(Action action, ConfigurationEntity entity, long version) {}

  /** An entity of the current configuration. */
  private record CurrentEntity(ConfigurationEntity entity, long version) {}

  /** Compares a desired configuration with the current one of a host. */
  static ConfigurationPlan of(FleetConfiguration desired, HostClient client) {
    Map<EntityReference, CurrentEntity> current = read(client);
    List<Step> steps = new ArrayList<>();
    Set<EntityReference> desiredReferences = new HashSet<>();
    desired.entities().stream()
        .sorted(Comparator.comparing(ConfigurationEntity::kind))
        .forEach(
            entity -> {
              desiredReferences.add(entity.reference());
              steps.add(step(entity, current.get(entity.reference())));
            });
    current.values().stream()
        .filter(found -> !desiredReferences.contains(found.entity().reference()))
        .sorted(Comparator.comparing((CurrentEntity found) -> found.entity().kind()).reversed())
        .forEach(found -> steps.add(new Step(Action.DELETE, found.entity(), found.version())));
    return new ConfigurationPlan(ImmutableList.copyOf(steps));
  }

  static String path(EntityReference reference) {
    return "/admin/v1/" + reference.objectName();
  }

  private static Step step(ConfigurationEntity entity, @Nullable CurrentEntity found) {
    if (found == null) {
      return new Step(Action.CREATE, entity, 0);
    }
    boolean same = found.entity().spec().equals(entity.spec());
    return new Step(same ? Action.KEEP : Action.UPDATE, entity, found.version());
  }

  private static Map<EntityReference, CurrentEntity> read(HostClient client) {
    Map<EntityReference, CurrentEntity> found = new HashMap<>();
    for (EntityKind kind : EntityKind.values()) {
      for (JsonNode node : client.get("/admin/v1/" + kind.collection()).path("entities")) {
        EntitySpec spec = ConfigurationJson.read(node.path("spec").toString(), kind.specType());
        ConfigurationEntity entity = ConfigurationEntity.of(node.path("name").asText(), spec);
        found.put(entity.reference(), new CurrentEntity(entity, node.path("version").asLong()));
      }
    }
    return found;
  }
}
