package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashSet;
import java.util.Set;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.transport.forward.EventLog;
import org.trefoilbarrow.transport.forward.FleetDecoder;

/**
 * Keeps the drained failure domains of a {@link FleetView} in step with the platform's. Used only
 * on the event loop's thread.
 */
final class DrainedDomains {
  private final FleetView fleet;
  private final FleetDecoder decoder;
  private final Runnable onChange;
  private final EventLog log;
  private final Set<String> names = new HashSet<>();

  DrainedDomains(FleetView fleet, FleetDecoder decoder, Runnable onChange, EventLog log) {
    this.fleet = checkNotNull(fleet, "fleet");
    this.decoder = checkNotNull(decoder, "decoder");
    this.onChange = checkNotNull(onChange, "onChange");
    this.log = checkNotNull(log, "log");
  }

  /** Called when the platform has an object for a drained domain. */
  void onPut(VersionedObject object) {
    if (names.add(object.name())) {
      log.add("config", "domain drained", "domain", object.name());
      apply();
    }
  }

  /** Called when the object of a domain was deleted, which is in use again. */
  void onDelete(String name) {
    if (names.remove(name)) {
      log.add("config", "domain back", "domain", name);
      apply();
    }
  }

  private void apply() {
    Set<FailureDomainId> domains = new HashSet<>();
    names.forEach(name -> domains.add(decoder.decodeDrainedDomain(name)));
    fleet.setDrainedDomains(domains);
    onChange.run();
  }
}
