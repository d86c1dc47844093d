package org.trefoilbarrow.transport.metrics;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.prometheus.client.dropwizard.samplebuilder.MapperConfig;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.OrganisationId;

/**
 * What a host on an operators' platform counts: requests and batch items by organisation and
 * outcome, their times by organisation and class, and how backend servers fare. Times are in
 * microseconds. Thread-safe.
 */
public final class FleetMetrics {
  /** The values that a histogram keeps; its memory is eight bytes for each. */
  private static final int KEPT_VALUES = 256;

  /** Stands for the organisation of requests on routes that need no key. */
  private static final String NO_ORGANISATION = "none";

  private static final String REQUESTS = "requests";
  private static final String REQUEST_TIMES = "request-micros";
  private static final String ITEMS = "items";
  private static final String ITEM_TIMES = "item-micros";
  private static final String PLACES = "places";

  private final MetricRegistry registry;

  /** A stage of a request whose time is measured from its arrival. */
  public enum Stage {
    /** The request has a place at a backend server. */
    PLACED,
    /** The first event, or the head of the answer, is on its way to the caller. */
    FIRST_PIECE,
    /** The answer is complete. */
    ANSWERED
  }

  /** Creates metrics in the given registry. */
  public FleetMetrics(MetricRegistry registry) {
    this.registry = checkNotNull(registry, "registry");
  }

  /** Returns how the names of the metrics become names with labels for readers. */
  static ImmutableList<MapperConfig> labels() {
    return ImmutableList.of(
        labelled(REQUESTS, "organisation", "route", "outcome"),
        labelled(REQUEST_TIMES, "organisation", "class", "stage"),
        labelled(ITEMS, "organisation", "outcome"),
        labelled(ITEM_TIMES, "organisation"),
        labelled(PLACES, "backend", "result"));
  }

  MetricRegistry registry() {
    return registry;
  }

  /** Counts the end of a request. */
  public void requestEnded(Optional<OrganisationId> organisation, String route, String outcome) {
    registry.counter(name(REQUESTS, text(organisation), route, outcome)).inc();
  }

  /** Records when a request reached a stage, after its arrival. */
  public void requestReached(
      Stage stage, Optional<OrganisationId> organisation, String requestClass, long nanos) {
    String stageName = stage.name().toLowerCase(Locale.ROOT);
    histogram(name(REQUEST_TIMES, text(organisation), requestClass, stageName))
        .update(TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  /** Counts what happened to a batch item. */
  public void item(OrganisationId organisation, String outcome) {
    registry.counter(name(ITEMS, organisation.value(), outcome)).inc();
  }

  /** Records how long a batch item took from its first wish for a place to its outcome. */
  public void itemEnded(OrganisationId organisation, long nanos) {
    histogram(name(ITEM_TIMES, organisation.value())).update(TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  /** Counts how the use of a place at a backend server ended. */
  public void placeEnded(BackendServerId backend, String result) {
    registry.counter(name(PLACES, backend.value(), result)).inc();
  }

  /** Registers a value that is read whenever the metrics are. */
  public void gauge(String name, LongSupplier value) {
    registry.gauge(name, () -> (Gauge<Long>) value::getAsLong);
  }

  private Histogram histogram(String name) {
    return registry.histogram(name, () -> new Histogram(new SlidingWindowReservoir(KEPT_VALUES)));
  }

  private static String text(Optional<OrganisationId> organisation) {
    return organisation.map(OrganisationId::value).orElse(NO_ORGANISATION);
  }

  private static MapperConfig labelled(String metric, String... labels) {
    ImmutableMap.Builder<String, String> named = ImmutableMap.builder();
    for (int index = 0; index < labels.length; index++) {
      named.put(labels[index], "${" + index + "}");
    }
    String pattern = metric + ".*".repeat(labels.length);
    return new MapperConfig(pattern, metric.replace('-', '_'), named.buildOrThrow());
  }

  /** Joins the parts of a name; a dot within a part would be taken for the end of the part. */
  private static String name(String metric, String... labels) {
    StringBuilder name = new StringBuilder(metric);
    for (String label : labels) {
      name.append('.').append(label.replace('.', '_').toLowerCase(Locale.ROOT));
    }
    return name.toString();
  }
}
