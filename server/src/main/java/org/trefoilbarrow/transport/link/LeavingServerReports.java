package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Consumer;
import org.trefoilbarrow.coordination.leaving.LeavingServers;
import org.trefoilbarrow.coordination.leaving.LeavingStatement;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.transport.forward.EventLog;
import org.trefoilbarrow.transport.link.generated.BackendLeavingMessage;
import org.trefoilbarrow.transport.link.generated.LinkMessage;

/**
 * Records, logs and converts the statements of backend servers that they are leaving, which this
 * host receives itself or from other hosts. Not thread-safe.
 */
final class LeavingServerReports {
  private static final long NANOS_IN_MILLI = 1_000_000;

  private final HostId self;
  private final LeavingServers servers;
  private final EventLog log;

  LeavingServerReports(HostId self, LeavingServers servers, EventLog log) {
    this.self = checkNotNull(self, "self");
    this.servers = checkNotNull(servers, "servers");
    this.log = checkNotNull(log, "log");
  }

  /** Returns whether a server has stated that it is leaving. */
  boolean isLeaving(BackendServer backend) {
    return servers.isLeaving(backend);
  }

  /**
   * Records a statement that this host received.
   *
   * @param status the status of the response
   * @param report receives the message to the dispatching host, if it is the first statement of
   *     this start of the server
   */
  void stated(BackendServer backend, int status, long nowNanos, Consumer<LinkMessage> report) {
    LeavingStatement statement =
        new LeavingStatement(backend.id(), backend.bornMillis(), self, nowNanos);
    if (servers.add(statement)) {
      log(statement, "response with status " + status, nowNanos);
      report.accept(toMessage(statement, nowNanos));
    }
  }

  /** Records what another host reports; returns whether this host did not know it. */
  boolean reported(HostId host, BackendLeavingMessage message, long nowNanos) {
    LeavingStatement statement = toStatement(host, message, nowNanos);
    boolean isNew = servers.add(statement);
    if (isNew) {
      log(statement, "report", nowNanos);
    }
    return isNew;
  }

  /** Passes all statements that hold to a dispatching host that may not know them. */
  void reportAll(long nowNanos, Consumer<LinkMessage> report) {
    servers.statements().forEach(statement -> report.accept(toMessage(statement, nowNanos)));
  }

  /** Removes the statements that have ended. */
  void removeEnded(FleetView fleet, long nowNanos) {
    for (LeavingStatement ended : servers.removeEnded(fleet, nowNanos)) {
      log.add(
          "fleet",
          "leaving ended",
          "backend",
          ended.backend(),
          "born",
          fleet.backend(ended.backend()).map(BackendServer::bornMillis).orElse(0L),
          "listed",
          fleet.backend(ended.backend()).isPresent(),
          "ageMillis",
          (nowNanos - ended.statedNanos()) / NANOS_IN_MILLI);
    }
  }

  private void log(LeavingStatement statement, String seen, long nowNanos) {
    log.add(
        "fleet",
        "backend states leaving",
        "backend",
        statement.backend(),
        "born",
        statement.bornMillis(),
        "host",
        statement.source(),
        "seen",
        seen,
        "ageMillis",
        (nowNanos - statement.statedNanos()) / NANOS_IN_MILLI);
  }

  /** Returns the message of a statement. Messages carry ages, since clocks of hosts differ. */
  static LinkMessage toMessage(LeavingStatement statement, long nowNanos) {
    BackendLeavingMessage message =
        new BackendLeavingMessage(
            statement.backend().value(), (nowNanos - statement.statedNanos()) / NANOS_IN_MILLI);
    if (statement.bornMillis() != 0) {
      message.setBornMillis(statement.bornMillis());
    }
    return LinkMessage.backendLeaving(message);
  }

  /** Returns the statement that a host has reported. */
  static LeavingStatement toStatement(HostId host, BackendLeavingMessage message, long nowNanos) {
    return new LeavingStatement(
        BackendServerId.of(message.getBackend()),
        message.getBornMillis(),
        host,
        nowNanos - message.getAgeMillis() * NANOS_IN_MILLI);
  }
}
