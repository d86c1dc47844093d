package org.trefoilbarrow.standins;

import java.util.List;

/**
 * The models, capacity and speed of a model engine stand-in.
 *
 * @param models the models served
 * @param capacity the number of requests served at full speed; more requests slow all of them down
 *     in proportion
 * @param firstTokenMillis the time to the first token at full speed, in milliseconds
 * @param tokenMillis the time between tokens at full speed, in milliseconds
 * @param coldCapacity the maximum number of requests of a cold engine; one more restarts it
 * @param coldMillis how long the engine is cold after a start, in milliseconds; 0 if it starts warm
 * @param reportLagMillis the maximum age of the load report, in milliseconds
 * @param cachedPrefixes the number of cached prompt prefixes; the first token of a prompt with a
 *     cached prefix takes a quarter of the time
 */
public record EngineProfile(
    List<String> models,
    int capacity,
    long firstTokenMillis,
    long tokenMillis,
    int coldCapacity,
    long coldMillis,
    long reportLagMillis,
    int cachedPrefixes) {

  /** Creates a profile of an engine that caches no prefixes. */
  public EngineProfile(
      List<String> models,
      int capacity,
      long firstTokenMillis,
      long tokenMillis,
      int coldCapacity,
      long coldMillis,
      long reportLagMillis) {
    this(
        models,
        capacity,
        firstTokenMillis,
        tokenMillis,
        coldCapacity,
        coldMillis,
        reportLagMillis,
        0);
  }

  /** Returns this profile with the given number of cached prefixes. */
  public EngineProfile withCachedPrefixes(int count) {
    return new EngineProfile(
        models,
        capacity,
        firstTokenMillis,
        tokenMillis,
        coldCapacity,
        coldMillis,
        reportLagMillis,
        count);
  }

  /** Returns the profile of a fast engine that starts warm and serves the given models. */
  public static EngineProfile echo(List<String> models) {
    return new EngineProfile(models, 64, 2, 1, 64, 0, 500);
  }
}
