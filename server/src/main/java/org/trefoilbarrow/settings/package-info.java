/**
 * The settings of a host: JSON with comments, checked before use.
 *
 * <p>Read in this order: {@link org.trefoilbarrow.settings.Settings}, {@link
 * org.trefoilbarrow.settings.SettingsLoader}, which checks a file against {@code
 * settings-schema.json} and adds the values of {@code default-settings.json}, and {@link
 * org.trefoilbarrow.settings.FleetHostSettings} for hosts on the operators' platform.
 */
package org.trefoilbarrow.settings;
