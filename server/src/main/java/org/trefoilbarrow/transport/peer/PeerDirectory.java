package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.apache.thrift.TException;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.transport.peer.generated.ConfigurationPageMessage;
import org.trefoilbarrow.transport.peer.generated.HostMessage;
import org.trefoilbarrow.transport.peer.generated.PeerAnswerMessage;
import org.trefoilbarrow.transport.peer.generated.PeerRequestMessage;

/** Sends messages to peers by host identifier and reports the results to the membership view. */
public final class PeerDirectory implements AutoCloseable {
  private final MembershipView membership;
  private final String ownAddress;
  private final Duration timeout;
  private final LongSupplier nanoClock;
  private final Map<String, PeerClient> clients = new ConcurrentHashMap<>();
  private final AtomicLong messages = new AtomicLong();
  private final LongAdder bytes = new LongAdder();

  /**
   * Creates a directory of the peers in the membership view.
   *
   * @param ownAddress the IP address from which messages are sent
   */
  public PeerDirectory(
      MembershipView membership, String ownAddress, Duration timeout, LongSupplier nanoClock) {
    this.membership = checkNotNull(membership, "membership");
    this.ownAddress = checkNotNull(ownAddress, "ownAddress");
    this.timeout = checkNotNull(timeout, "timeout");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /** Sends a message to a peer; returns empty if it is unknown or does not answer. */
  Optional<PeerAnswerMessage> exchange(HostId peer, PeerRequestMessage request) {
    Optional<HostStatus> status = membership.status(peer);
    if (status.isEmpty()) {
      return Optional.empty();
    }
    messages.incrementAndGet();
    try {
      PeerAnswerMessage answer = client(status.get().peerAddress()).exchange(request);
      if (!answer.getHost().equals(peer.value())) {
        // Another host has this address now.
        return Optional.empty();
      }
      membership.onMessageReceived(
          peer, answer.getIncarnation(), answer.isLeaving(), nanoClock.getAsLong());
      return Optional.of(answer);
    } catch (TException e) {
      if (e.getCause() instanceof ConnectException) {
        membership.onConnectionRefused(peer);
      } else {
        membership.onNoAnswer(peer, nanoClock.getAsLong());
      }
      return Optional.empty();
    }
  }

  /** Reads configuration from the host at an address; returns empty if it does not answer. */
  Optional<ConfigurationPageMessage> pullConfiguration(
      String address, long afterVersion, int limit) {
    messages.incrementAndGet();
    try {
      return Optional.of(client(address).pullConfiguration(afterVersion, limit));
    } catch (TException e) {
      return Optional.empty();
    }
  }

  /** Announces a new host to the host at an address; returns the hosts that it knows, or empty. */
  Optional<List<HostMessage>> greet(String address, HostMessage newcomer) {
    messages.incrementAndGet();
    try {
      return Optional.of(client(address).greet(newcomer));
    } catch (TException e) {
      return Optional.empty();
    }
  }

  /** Returns the number of messages sent so far. */
  public long messages() {
    return messages.get();
  }

  /** Returns the number of bytes sent and received as a client so far. */
  public long bytes() {
    return bytes.sum();
  }

  @Override
  public void close() {
    clients.values().forEach(PeerClient::close);
  }

  private PeerClient client(String address) {
    return clients.computeIfAbsent(
        address, unused -> new PeerClient(address, ownAddress, timeout, bytes));
  }
}
