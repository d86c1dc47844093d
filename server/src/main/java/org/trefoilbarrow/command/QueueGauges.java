package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.trefoilbarrow.coordination.dispatch.Dispatcher;
import org.trefoilbarrow.transport.metrics.FleetMetrics;

/**
 * Publishes which online demands wait at this host: by route, and for the organisations with the
 * longest queues.
 */
final class QueueGauges {
  private static final int MAX_VALUES = 10;
  private static final Duration INTERVAL = Duration.ofSeconds(1);

  private final Dispatcher dispatcher;
  private final FleetMetrics metrics;

  QueueGauges(Dispatcher dispatcher, FleetMetrics metrics) {
    this.dispatcher = checkNotNull(dispatcher, "dispatcher");
    this.metrics = checkNotNull(metrics, "metrics");
  }

  /** Starts to publish; reads the dispatcher only on the thread of its event loop. */
  void start(EventLoop loop) {
    loop.scheduleAtFixedRate(
        this::publish, INTERVAL.toMillis(), INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void publish() {
    metrics.replaceGauges(FleetMetrics.WAITING_BY_ROUTE, largest(dispatcher.waitingByRoute()));
    metrics.replaceGauges(
        FleetMetrics.WAITING_BY_ORGANISATION, largest(dispatcher.waitingByOrganisation()));
  }

  private static ImmutableMap<String, Integer> largest(Map<String, Integer> counts) {
    return counts.entrySet().stream()
        .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder()))
        .limit(MAX_VALUES)
        .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
  }
}
