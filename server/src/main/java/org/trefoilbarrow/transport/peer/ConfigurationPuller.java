package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.state.ObjectChange;
import org.trefoilbarrow.transport.peer.generated.ConfigurationObjectMessage;
import org.trefoilbarrow.transport.peer.generated.ConfigurationPageMessage;

/**
 * Reads newer configuration from peers while the platform does not answer.
 *
 * <p>Peers pass on only versions that the platform once accepted; they never create any. Used by
 * one thread.
 */
public final class ConfigurationPuller {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int PAGE_OBJECTS = 1000;

  private final PeerDirectory directory;
  private final MembershipView membership;
  private final ConfigurationTable table;
  private final LongSupplier nanoClock;

  /** Creates a puller that reads from the peers in the membership view. */
  public ConfigurationPuller(
      PeerDirectory directory,
      MembershipView membership,
      ConfigurationTable table,
      LongSupplier nanoClock) {
    this.directory = checkNotNull(directory, "directory");
    this.membership = checkNotNull(membership, "membership");
    this.table = checkNotNull(table, "table");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /** Reads newer configuration from each live peer. */
  public void pull() {
    for (HostStatus peer : membership.livePeers(nanoClock.getAsLong())) {
      pullFrom(peer.peerAddress());
    }
  }

  private void pullFrom(String address) {
    long after = table.revision();
    while (true) {
      Optional<ConfigurationPageMessage> page =
          directory.pullConfiguration(address, after, PAGE_OBJECTS);
      if (page.isEmpty()) {
        return;
      }
      List<ObjectChange> changes = new ArrayList<>();
      for (ConfigurationObjectMessage object : page.get().getObjects()) {
        after = Math.max(after, object.getVersion());
        changes.add(
            new ObjectChange(
                object.getName(), object.getVersion(), Optional.ofNullable(object.getValue())));
      }
      boolean complete = page.get().isComplete() || changes.isEmpty();
      // All changes up to the peer's revision are known only with its last page.
      long known = complete ? page.get().getRevision() : table.revision();
      table.applyBatch(new ChangeBatch(known, changes));
      if (!changes.isEmpty()) {
        logger.atInfo().log(
            "configuration: received %s newer objects from peer %s", changes.size(), address);
      }
      if (complete) {
        return;
      }
    }
  }
}
