package org.trefoilbarrow.transport.peer;

import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.transport.peer.generated.HostMessage;

/** Converts between a host's status and its message. */
final class HostMessages {
  private HostMessages() {}

  static HostMessage of(HostStatus status) {
    return new HostMessage(
        status.host().value(),
        status.incarnation(),
        status.peerAddress(),
        status.callerAddress(),
        status.failureDomain().value(),
        status.leaving(),
        status.heartbeat());
  }

  static HostStatus toStatus(HostMessage message) {
    return new HostStatus(
        HostId.of(message.getHost()),
        message.getIncarnation(),
        message.getPeerAddress(),
        message.getCallerAddress(),
        FailureDomainId.of(message.getFailureDomain()),
        message.isLeaving(),
        message.getHeartbeat());
  }
}
