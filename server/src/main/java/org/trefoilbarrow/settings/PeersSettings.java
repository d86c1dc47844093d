package org.trefoilbarrow.settings;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The communication with other hosts.
 *
 * @param timeoutMillis the timeout for the answer to a message, in milliseconds
 * @param suspectAfterMillis how long an unresponsive peer is still assumed live, in milliseconds
 * @param forgetAfterMillis how long an unresponsive peer is still contacted, in milliseconds
 * @param statusEveryMillis the interval of writing the status to the platform, in milliseconds
 * @param seeds the addresses of peers that provide the configuration if the platform is unavailable
 *     at the start
 */
public record PeersSettings(
    int timeoutMillis,
    int suspectAfterMillis,
    int forgetAfterMillis,
    int statusEveryMillis,
    List<String> seeds) {
  /** Copies the mutable components. */
  public PeersSettings {
    seeds = ImmutableList.copyOf(seeds);
  }
}
