package org.trefoilbarrow.protocol;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.jspecify.annotations.Nullable;

/**
 * The stored record of a share: an equal part of all limits, which a host holds under a lease.
 *
 * @param holder the host that holds the share, or null after a release
 * @param incarnation the holder's incarnation
 * @param renewals a number that increases with each write of the record
 */
public record ShareRecord(@Nullable HostId holder, long incarnation, long renewals) {

  /** Returns the record of a share that was never held. */
  public static ShareRecord neverHeld() {
    return new ShareRecord(null, 0, 0);
  }

  /** Returns this record, held by the given host and with the next number of renewals. */
  public ShareRecord heldBy(HostId host, long hostIncarnation) {
    return new ShareRecord(host, hostIncarnation, renewals + 1);
  }

  /** Returns this record without a holder and with the next number of renewals. */
  public ShareRecord released() {
    return new ShareRecord(null, 0, renewals + 1);
  }

  /** Returns whether the given incarnation of a host holds the share. */
  public boolean isHeldBy(HostId host, long hostIncarnation) {
    return host.equals(holder) && incarnation == hostIncarnation;
  }

  /** Returns whether no host holds the share. */
  @JsonIgnore
  public boolean isFree() {
    return holder == null;
  }
}
