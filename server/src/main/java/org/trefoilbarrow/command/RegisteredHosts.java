package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.transport.forward.EventLog;
import org.trefoilbarrow.transport.link.PeerAddress;

/** The hosts that are registered at the platform. Used only on the event loop's thread. */
final class RegisteredHosts {
  private final Consumer<ImmutableList<PeerAddress>> onChange;
  private final EventLog log;
  private final Map<String, PeerAddress> hosts = new HashMap<>();

  /**
   * Creates an instance without hosts.
   *
   * @param onChange receives all hosts after each change
   */
  RegisteredHosts(Consumer<ImmutableList<PeerAddress>> onChange, EventLog log) {
    this.onChange = checkNotNull(onChange, "onChange");
    this.log = checkNotNull(log, "log");
  }

  /** Returns whether a host of a name is registered. */
  boolean contains(String name) {
    return hosts.containsKey(name);
  }

  /** Called when the platform has an object for a host. */
  void onPut(VersionedObject object) {
    hosts.put(object.name(), JsonCodec.decode(object.value(), PeerAddress.class));
    log.add("peers", "listed", "host", object.name());
    onChange.accept(ImmutableList.copyOf(hosts.values()));
  }

  /** Called when the object of a host was deleted. */
  void onDelete(String name) {
    hosts.remove(name);
    log.add("peers", "gone", "host", name);
    onChange.accept(ImmutableList.copyOf(hosts.values()));
  }
}
