package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.trefoilbarrow.coordination.backend.WorkClass;
import org.trefoilbarrow.protocol.OrganisationId;

/** Counters and histograms for each organisation and work class. Thread-safe. */
public final class OrganisationMetrics {
  private static final long WINDOW_SECONDS = 60;

  private final MetricRegistry registry;
  private final Map<OrganisationId, ForOrganisation> organisations = new ConcurrentHashMap<>();

  /** Creates metrics in the given registry. */
  public OrganisationMetrics(MetricRegistry registry) {
    this.registry = checkNotNull(registry, "registry");
  }

  /** Returns the metrics of an organisation. */
  public ForOrganisation of(OrganisationId organisation) {
    return organisations.computeIfAbsent(organisation, ForOrganisation::new);
  }

  /** Returns the metrics of all organisations that were served. */
  public Map<OrganisationId, ForOrganisation> all() {
    return Map.copyOf(organisations);
  }

  /** The metrics of one organisation. Times are in microseconds. */
  public final class ForOrganisation {
    private final Counter servedOnline;
    private final Counter servedBatch;
    private final Counter failedOnline;
    private final Counter refusedOverRate;
    private final Counter refusedWithinRate;
    private final Histogram tokenWait;
    private final Histogram firstByteOnline;
    private final Histogram betweenChunksOnline;
    private final Histogram totalOnline;
    private final Histogram totalBatch;

    private ForOrganisation(OrganisationId organisation) {
      String prefix = MetricRegistry.name("organisation", organisation.value());
      servedOnline = registry.counter(prefix + ".online.served");
      servedBatch = registry.counter(prefix + ".batch.served");
      failedOnline = registry.counter(prefix + ".online.failed");
      refusedOverRate = registry.counter(prefix + ".refused-over-rate");
      refusedWithinRate = registry.counter(prefix + ".refused-within-rate");
      tokenWait = histogram(prefix + ".token-wait-micros");
      firstByteOnline = histogram(prefix + ".online.first-byte-micros");
      betweenChunksOnline = histogram(prefix + ".online.between-chunks-micros");
      totalOnline = histogram(prefix + ".online.total-micros");
      totalBatch = histogram(prefix + ".batch.total-micros");
    }

    /** Records the waiting time for a token. */
    public void onTokenWait(long nanos) {
      tokenWait.update(TimeUnit.NANOSECONDS.toMicros(nanos));
    }

    /** Records the refusal of a request over the organisation's rate. */
    public void onRefusedOverRate() {
      refusedOverRate.inc();
    }

    /** Records the refusal of a request that may have been within the rate, which is a defect. */
    public void onRefusedWithinRate() {
      refusedWithinRate.inc();
    }

    /** Records the time to the first byte of an online response. */
    public void onFirstByte(long nanos) {
      firstByteOnline.update(TimeUnit.NANOSECONDS.toMicros(nanos));
    }

    /** Records the time between two parts of a streamed response. */
    public void onChunk(long nanosSinceLast) {
      betweenChunksOnline.update(TimeUnit.NANOSECONDS.toMicros(nanosSinceLast));
    }

    /** Records a request that ended with a response, and its total time. */
    public void onServed(WorkClass workClass, long nanos) {
      boolean online = workClass == WorkClass.ONLINE;
      (online ? servedOnline : servedBatch).inc();
      (online ? totalOnline : totalBatch).update(TimeUnit.NANOSECONDS.toMicros(nanos));
    }

    /** Records an online request that ended with an error after admission. */
    public void onFailed() {
      failedOnline.inc();
    }

    /** Returns a summary for status reports. */
    public Summary summary() {
      Snapshot firstByte = firstByteOnline.getSnapshot();
      Snapshot total = totalOnline.getSnapshot();
      Snapshot tokenWaitSnapshot = tokenWait.getSnapshot();
      return new Summary(
          servedOnline.getCount(),
          servedBatch.getCount(),
          failedOnline.getCount(),
          refusedOverRate.getCount(),
          refusedWithinRate.getCount(),
          (long) firstByte.getMedian(),
          (long) firstByte.get99thPercentile(),
          (long) total.getMedian(),
          (long) total.get99thPercentile(),
          (long) tokenWaitSnapshot.get99thPercentile());
    }
  }

  /**
   * A summary of the times of the last 60 seconds and of all counts.
   *
   * @param servedOnline online requests answered
   * @param servedBatch batch items answered
   * @param failedOnline online requests that ended with an error after admission
   * @param refusedOverRate requests refused over the organisation's rate
   * @param refusedWithinRate requests refused although possibly within the rate
   * @param firstByteMicrosMedian the median time to the first byte, in microseconds
   * @param firstByteMicros99 the same at the 99th percentile
   * @param totalMicrosMedian the median time to the end of a response, in microseconds
   * @param totalMicros99 the same at the 99th percentile
   * @param tokenWaitMicros99 the waiting time for a token at the 99th percentile, in microseconds
   */
  public record Summary(
      long servedOnline,
      long servedBatch,
      long failedOnline,
      long refusedOverRate,
      long refusedWithinRate,
      long firstByteMicrosMedian,
      long firstByteMicros99,
      long totalMicrosMedian,
      long totalMicros99,
      long tokenWaitMicros99) {}

  private Histogram histogram(String name) {
    return registry.histogram(
        name,
        () -> new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)));
  }
}
