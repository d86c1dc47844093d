package org.trefoilbarrow.settings;

/**
 * The rule by which an isolated host stops serving callers.
 *
 * @param afterMillis how long neither the platform nor most peers have responded when the host
 *     stops serving, in milliseconds
 */
public record IsolationSettings(int afterMillis) {}
