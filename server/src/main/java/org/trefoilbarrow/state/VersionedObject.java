package org.trefoilbarrow.state;

/**
 * An object of the platform at one version.
 *
 * @param name the object's name, unique within its kind
 * @param version the object's version, which increases with each write
 * @param value the object's value
 */
public record VersionedObject(String name, long version, String value) {}
