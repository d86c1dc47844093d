package org.trefoilbarrow.transport.metrics;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;
import com.google.common.collect.HashMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.SetMultimap;
import io.prometheus.client.dropwizard.samplebuilder.MapperConfig;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.OrganisationId;

/**
 * The counters and histograms of a host on an operators' platform: requests and batch items by
 * organisation and outcome, their times by organisation and class, and placements by backend server
 * and result. Times are in microseconds. Thread-safe.
 */
public final class FleetMetrics {
  /** The number of values that a histogram keeps; each takes eight bytes. */
  private static final int HISTOGRAM_SIZE = 256;

  /** The label of requests without an organisation or a route. */
  private static final String NO_ORGANISATION = "none";

  private static final String REQUESTS = "requests";
  private static final String REQUEST_TIMES = "request-micros";
  private static final String ITEMS = "items";
  private static final String ITEM_TIMES = "item-micros";
  private static final String PLACEMENTS = "places";

  /** The number of waiting online demands by route. */
  public static final String WAITING_BY_ROUTE = "waiting-by-route";

  /** The number of waiting online demands of the organisations with the longest queues. */
  public static final String WAITING_BY_ORGANISATION = "waiting-by-organisation";

  private final MetricRegistry registry;
  private final SetMultimap<String, String> replacedGauges = HashMultimap.create();

  /** A stage of a request, whose time is measured from the arrival of the request. */
  public enum Stage {
    /** The request has a slot at a backend server. */
    PLACED,
    /** The first event of a stream was sent to the caller. */
    FIRST_PIECE,
    /** The response is complete. */
    ANSWERED
  }

  /** Creates metrics in the given registry. */
  public FleetMetrics(MetricRegistry registry) {
    this.registry = checkNotNull(registry, "registry");
  }

  /** Returns the mappings from registry names to Prometheus names with labels. */
  static ImmutableList<MapperConfig> labelMappings() {
    return ImmutableList.of(
        labelMapping(REQUESTS, "organisation", "route", "outcome"),
        labelMapping(REQUEST_TIMES, "organisation", "class", "stage"),
        labelMapping(ITEMS, "organisation", "outcome"),
        labelMapping(ITEM_TIMES, "organisation"),
        labelMapping(PLACEMENTS, "backend", "result"),
        labelMapping(WAITING_BY_ROUTE, "route"),
        labelMapping(WAITING_BY_ORGANISATION, "organisation"));
  }

  MetricRegistry registry() {
    return registry;
  }

  /** Counts a request by its outcome. */
  public void countRequest(Optional<OrganisationId> organisation, String route, String outcome) {
    registry.counter(metricName(REQUESTS, labelOf(organisation), route, outcome)).inc();
  }

  /** Records the time from the arrival of a request to a stage. */
  public void recordStageTime(
      Stage stage, Optional<OrganisationId> organisation, String requestClass, long nanos) {
    String stageName = stage.name().toLowerCase(Locale.ROOT);
    histogram(metricName(REQUEST_TIMES, labelOf(organisation), requestClass, stageName))
        .update(TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  /** Counts an event or outcome of a batch item. */
  public void countItemEvent(OrganisationId organisation, String outcome) {
    registry.counter(metricName(ITEMS, organisation.value(), outcome)).inc();
  }

  /** Records the time of a batch item from its first demand for a slot to its outcome. */
  public void recordItemTime(OrganisationId organisation, long nanos) {
    histogram(metricName(ITEM_TIMES, organisation.value()))
        .update(TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  /** Counts a placement that has ended by its result. */
  public void countPlacement(BackendServerId backend, String result) {
    registry.counter(metricName(PLACEMENTS, backend.value(), result)).inc();
  }

  /** Registers a gauge, whose value is computed at each read of the metrics. */
  public void gauge(String name, LongSupplier value) {
    registry.gauge(name, () -> (Gauge<Long>) value::getAsLong);
  }

  /**
   * Replaces the gauges of a metric with one label; those of other labels end.
   *
   * @param values the values by label
   */
  public synchronized void replaceGauges(String metric, Map<String, Integer> values) {
    replacedGauges.removeAll(metric).forEach(registry::remove);
    values.forEach(
        (label, value) -> {
          String name = metricName(metric, label.isEmpty() ? NO_ORGANISATION : label);
          registry.gauge(name, () -> (Gauge<Integer>) () -> value);
          replacedGauges.put(metric, name);
        });
  }

  private Histogram histogram(String name) {
    return registry.histogram(
        name, () -> new Histogram(new SlidingWindowReservoir(HISTOGRAM_SIZE)));
  }

  private static String labelOf(Optional<OrganisationId> organisation) {
    return organisation.map(OrganisationId::value).orElse(NO_ORGANISATION);
  }

  private static MapperConfig labelMapping(String metric, String... labels) {
    ImmutableMap.Builder<String, String> named = ImmutableMap.builder();
    for (int index = 0; index < labels.length; index++) {
      named.put(labels[index], "${" + index + "}");
    }
    String pattern = metric + ".*".repeat(labels.length);
    return new MapperConfig(pattern, metric.replace('-', '_'), named.buildOrThrow());
  }

  /** Joins a metric and its labels by dots; a dot within a label would split it in two. */
  private static String metricName(String metric, String... labels) {
    StringBuilder name = new StringBuilder(metric);
    for (String label : labels) {
      name.append('.').append(label.replace('.', '_').toLowerCase(Locale.ROOT));
    }
    return name.toString();
  }
}
