package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The quarantine of a prompt part, as it is stored at the platform.
 *
 * @param part the part
 * @param durationMillis how long the quarantine lasts; above 0
 * @param untilMillis when it ends, in milliseconds since the epoch
 * @param ends the number of ends of backend servers that led to it
 * @param lastEndMillis when the last of them was, in milliseconds since the epoch
 * @param host the host that decided
 */
public record QuarantineRecord(
    PromptPartId part,
    long durationMillis,
    long untilMillis,
    int ends,
    long lastEndMillis,
    HostId host) {
  /** Checks the components. */
  public QuarantineRecord {
    checkNotNull(part, "part");
    checkArgument(durationMillis > 0, "durationMillis must be positive, not %s", durationMillis);
    checkNotNull(host, "host");
  }
}
