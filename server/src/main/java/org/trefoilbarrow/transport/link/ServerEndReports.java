package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.trefoilbarrow.coordination.quarantine.ServerEnd;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.PromptPartId;
import org.trefoilbarrow.transport.link.generated.ServerEndMessage;

/**
 * The newest ends of backend servers that this host saw, which it reports once more to each new
 * dispatching host. Not thread-safe.
 */
final class ServerEndReports {
  private static final int MAX_REPORTS = 64;
  private static final Duration RETENTION = Duration.ofMinutes(5);
  private static final long NANOS_IN_MILLI = 1_000_000;

  private final Deque<ServerEnd> reports = new ArrayDeque<>();

  void add(ServerEnd end) {
    reports.addLast(end);
    if (reports.size() > MAX_REPORTS) {
      reports.removeFirst();
    }
  }

  /** Forgets all reports under a prompt part. */
  void forget(PromptPartId part) {
    reports.removeIf(end -> end.parts().contains(part));
  }

  /** Returns the reports that are not too old. */
  ImmutableList<ServerEnd> recent(long nowNanos) {
    reports.removeIf(end -> nowNanos - end.endNanos() > RETENTION.toNanos());
    return ImmutableList.copyOf(reports);
  }

  /** Returns the message that reports an end. Messages carry ages, since clocks of hosts differ. */
  static ServerEndMessage toMessage(ServerEnd end, long nowNanos) {
    Map<String, Long> soundAges = new HashMap<>();
    end.soundNanos()
        .forEach((part, nanos) -> soundAges.put(part.value(), (nowNanos - nanos) / NANOS_IN_MILLI));
    return new ServerEndMessage(
        end.backend().value(),
        end.domain().value(),
        (nowNanos - end.endNanos()) / NANOS_IN_MILLI,
        end.parts().stream().map(PromptPartId::value).toList(),
        soundAges);
  }

  /** Returns the end that a host has reported. */
  static ServerEnd toServerEnd(HostId host, ServerEndMessage message, long nowNanos) {
    checkNotNull(host, "host");
    ImmutableMap.Builder<PromptPartId, Long> soundNanos = ImmutableMap.builder();
    message
        .getSoundAgesMillis()
        .forEach(
            (part, age) -> soundNanos.put(PromptPartId.of(part), nowNanos - age * NANOS_IN_MILLI));
    return new ServerEnd(
        host,
        BackendServerId.of(message.getBackend()),
        FailureDomainId.of(message.getDomain()),
        DemandMessages.parts(message.getPromptParts()),
        soundNanos.buildOrThrow(),
        nowNanos - message.getAgeMillis() * NANOS_IN_MILLI);
  }
}
