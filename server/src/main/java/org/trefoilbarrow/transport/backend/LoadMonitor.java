package org.trefoilbarrow.transport.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;
import org.trefoilbarrow.coordination.backend.BackendDefinition;
import org.trefoilbarrow.coordination.backend.PermitScheduler;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.transport.platform.PeriodicTask;

/**
 * Reads the load reports of backend servers, and finds connections that went silent.
 *
 * <p>Each report comes over a connection that is kept for it. If that one stays silent while a new
 * connection answers, the connections that were open before are taken for silent as well. A backend
 * server without reports is asked all the same: any answer shows that it runs.
 */
public final class LoadMonitor implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Timeout TIMEOUT = Timeout.ofMilliseconds(500);
  private static final int OK = 200;

  private final CloseableHttpClient kept;
  private final CloseableHttpClient fresh;
  private final PermitScheduler scheduler;
  private final UnresponsiveConnectionListener onSilence;
  private final LongSupplier nanoClock;
  private final PeriodicTask task;
  private final ExecutorService readers;
  private final Set<BackendServerId> inProgress = ConcurrentHashMap.newKeySet();

  /** Learns of connections that went silent. */
  @FunctionalInterface
  public interface UnresponsiveConnectionListener {
    /** Records that connections opened before the given time are silent, while new ones work. */
    void onUnresponsiveConnections(BackendServerId backend, long openedBeforeNanos);
  }

  /**
   * Creates a reporter on the given backend servers; {@link #start} begins its work.
   *
   * @param connectTimeout how long opening a connection may take
   */
  public LoadMonitor(
      PermitScheduler scheduler,
      Supplier<? extends Iterable<BackendDefinition>> backends,
      UnresponsiveConnectionListener onSilence,
      Duration connectTimeout,
      Duration every,
      LongSupplier nanoClock) {
    this.kept = HttpClients.pooled(connectTimeout, 1);
    this.fresh = HttpClients.unpooled(connectTimeout, 1);
    this.scheduler = checkNotNull(scheduler, "scheduler");
    checkNotNull(backends, "backends");
    this.onSilence = checkNotNull(onSilence, "onSilence");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.readers =
        Executors.newCachedThreadPool(
            new ThreadFactoryBuilder().setNameFormat("load-report-%d").setDaemon(true).build());
    this.task = new PeriodicTask("load-reports", every, () -> backends.get().forEach(this::begin));
  }

  /** Begins to read reports. */
  public void start() {
    task.start();
  }

  @Override
  public void close() {
    task.close();
    readers.shutdownNow();
  }

  /** Reads a report without keeping those of other backend servers waiting. */
  private void begin(BackendDefinition backend) {
    if (!inProgress.add(backend.id())) {
      return;
    }
    readers.execute(
        () -> {
          try {
            read(backend);
          } finally {
            inProgress.remove(backend.id());
          }
        });
  }

  private void read(BackendDefinition backend) {
    long start = nanoClock.getAsLong();
    try {
      ask(kept, backend);
    } catch (SocketTimeoutException e) {
      readAfterSilence(backend, start);
    } catch (IOException e) {
      logger.atFine().log("backend: %s gives no load report", backend.id());
    }
  }

  private void readAfterSilence(BackendDefinition backend, long silentSinceNanos) {
    try {
      ask(fresh, backend);
      logger.atWarning().log(
          "backend: connections to %s went silent, new ones are opened", backend.id());
      onSilence.onUnresponsiveConnections(backend.id(), silentSinceNanos);
    } catch (IOException e) {
      logger.atFine().log("backend: %s gives no load report", backend.id());
    }
  }

  private void ask(CloseableHttpClient client, BackendDefinition backend) throws IOException {
    HttpGet request = new HttpGet(backend.address() + "/load");
    request.setConfig(RequestConfig.custom().setResponseTimeout(TIMEOUT).build());
    client.execute(
        request,
        response -> {
          byte[] body = EntityUtils.toByteArray(response.getEntity());
          if (response.getCode() == OK) {
            onReport(backend, JsonCodec.mapper().readTree(body));
          }
          scheduler.onReachable(backend.id(), nanoClock.getAsLong());
          return null;
        });
  }

  private void onReport(BackendDefinition backend, JsonNode report) {
    if (!report.has("bootId")) {
      return;
    }
    scheduler.onLoadReport(
        backend.id(),
        Optional.of(report.path("bootId").asText()),
        report.path("cold").asBoolean(false),
        nanoClock.getAsLong());
  }
}
