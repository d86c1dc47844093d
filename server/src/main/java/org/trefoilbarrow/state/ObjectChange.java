package org.trefoilbarrow.state;

import java.util.Optional;

/**
 * A change to an object, as a watch reports it.
 *
 * @param name the object's name
 * @param version the version that the change wrote
 * @param value the new value; absent for a deletion
 */
public record ObjectChange(String name, long version, Optional<String> value) {}
