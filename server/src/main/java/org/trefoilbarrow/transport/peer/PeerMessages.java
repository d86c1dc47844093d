package org.trefoilbarrow.transport.peer;

import java.util.ArrayList;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.transport.peer.generated.PeerRequestMessage;

/** Builds messages to other hosts. */
final class PeerMessages {
  private PeerMessages() {}

  /** Returns a message without requests, which by itself is a heartbeat. */
  static PeerRequestMessage newRequest(HostStatus sender, boolean isLeaving) {
    return new PeerRequestMessage(
        PeerServiceHandler.MESSAGE_VERSION,
        sender.host().value(),
        sender.incarnation(),
        isLeaving,
        new ArrayList<>(),
        new ArrayList<>(),
        new ArrayList<>());
  }
}
