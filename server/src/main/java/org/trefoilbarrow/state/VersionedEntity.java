package org.trefoilbarrow.state;

import org.trefoilbarrow.operators.ConfigurationEntity;

/**
 * A configuration entity at one version.
 *
 * @param entity the entity
 * @param version the version of its object in the platform
 */
public record VersionedEntity(ConfigurationEntity entity, long version) {}
