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

/** What is counted, as monitoring reads it. */
public final class MetricsEndpointTest {
  private static final OrganisationId ACME = OrganisationId.of("acme");

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterClass
  public void end() {
    group.shutdownGracefully();
  }

  private static Object[] row(Consumer<FleetMetrics> event, String line) {
    return new Object[] {event, line};
  }

  @DataProvider
  public Object[][] events() {
    return new Object[][] {
      row(
          metrics -> metrics.requestEnded(Optional.of(ACME), "r.1", "answered"),
          "requests{organisation=\"acme\",route=\"r_1\",outcome=\"answered\",} 1.0"),
      row(
          metrics -> metrics.requestEnded(Optional.empty(), "r", "cut"),
          "requests{organisation=\"none\",route=\"r\",outcome=\"cut\",} 1.0"),
      row(
          metrics ->
              metrics.requestReached(
                  FleetMetrics.Stage.FIRST_PIECE, Optional.of(ACME), "ONCE", 5_000),
          "request_micros{organisation=\"acme\",class=\"once\",stage=\"first_piece\","
              + "quantile=\"0.5\",} 5.0"),
      row(
          metrics -> metrics.item(ACME, "interrupted"),
          "items{organisation=\"acme\",outcome=\"interrupted\",} 1.0"),
      row(
          metrics -> metrics.itemEnded(ACME, 7_000),
          "item_micros{organisation=\"acme\",quantile=\"0.99\",} 7.0"),
      row(
          metrics -> metrics.placeEnded(BackendServerId.of("i-1"), "STALLED"),
          "places{backend=\"i-1\",result=\"stalled\",} 1.0"),
      row(metrics -> metrics.gauge("waiting", () -> 3), "waiting 3.0")
    };
  }

  @Test(dataProvider = "events")
  public void anEventIsALineWithLabels(Consumer<FleetMetrics> event, String line) {
    FleetMetrics metrics = new FleetMetrics(new MetricRegistry());
    event.accept(metrics);
    String text = new MetricsEndpoint(group.next(), metrics).text();
    assertTrue(text.contains(line), text);
  }
}
