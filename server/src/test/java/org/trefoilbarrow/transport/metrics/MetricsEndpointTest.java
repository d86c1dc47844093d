package org.trefoilbarrow.transport.metrics;

import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Optional;
import java.util.function.Consumer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.OrganisationId;

/** Checks each metric in the text that {@link MetricsEndpoint} serves. */
public final class MetricsEndpointTest {
  private static final OrganisationId ACME = OrganisationId.of("acme");

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterClass
  public void stopEventLoops() {
    group.shutdownGracefully();
  }

  private static Object[] row(Consumer<FleetMetrics> event, String expectedLine) {
    return new Object[] {event, expectedLine};
  }

  @DataProvider
  public Object[][] events() {
    return new Object[][] {
      row(
          metrics -> metrics.countRequest(Optional.of(ACME), "r.1", "answered"),
          "requests{organisation=\"acme\",route=\"r_1\",outcome=\"answered\",} 1.0"),
      row(
          metrics -> metrics.countRequest(Optional.empty(), "r", "cut"),
          "requests{organisation=\"none\",route=\"r\",outcome=\"cut\",} 1.0"),
      row(
          metrics ->
              metrics.recordStageTime(
                  FleetMetrics.Stage.FIRST_PIECE, Optional.of(ACME), "ONCE", 5_000),
          "request_micros{organisation=\"acme\",class=\"once\",stage=\"first_piece\","
              + "quantile=\"0.5\",} 5.0"),
      row(
          metrics -> metrics.countItemEvent(ACME, "interrupted"),
          "items{organisation=\"acme\",outcome=\"interrupted\",} 1.0"),
      row(
          metrics -> metrics.recordItemTime(ACME, 7_000),
          "item_micros{organisation=\"acme\",quantile=\"0.99\",} 7.0"),
      row(
          metrics -> metrics.countPlacement(BackendServerId.of("i-1"), "STALLED"),
          "places{backend=\"i-1\",result=\"stalled\",} 1.0"),
      row(metrics -> metrics.gauge("waiting", () -> 3), "waiting 3.0")
    };
  }

  @Test(dataProvider = "events")
  public void eachEventIsExportedAsLineWithLabels(
      Consumer<FleetMetrics> event, String expectedLine) {
    FleetMetrics metrics = new FleetMetrics(new MetricRegistry());
    event.accept(metrics);
    String text = new MetricsEndpoint(group.next(), metrics).text();
    assertTrue(text.contains(expectedLine), text);
  }
}
