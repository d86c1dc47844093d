package org.trefoilbarrow.settings;

/**
 * The connection to the platform.
 *
 * @param address the base address of the object service
 * @param timeoutMillis the timeout of a call, in milliseconds
 * @param callsPerSecond the maximum rate of calls, in calls per second
 */
public record PlatformSettings(String address, int timeoutMillis, int callsPerSecond) {}
