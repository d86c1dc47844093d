package org.trefoilbarrow.settings;

/**
 * The settings of the log.
 *
 * @param level the least severe level that is logged
 */
public record LoggingSettings(String level) {}
