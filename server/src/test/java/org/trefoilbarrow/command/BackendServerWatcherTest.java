package org.trefoilbarrow.command;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectChange;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.Catalog;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.transport.forward.EventLog;
import org.trefoilbarrow.transport.forward.FleetDecoder;

public final class BackendServerWatcherTest {
  private static final String UNDECODABLE = "undecodable";

  private FleetView fleet;
  private EventLoop loop;

  private static final class ThrowingDecoder implements FleetDecoder {
    @Override
    public Optional<Catalog> decodeCatalog(String name, String value) {
      return Optional.empty();
    }

    @Override
    public Optional<BackendServer> decodeBackendServer(String name, String value, long nowNanos) {
      if (value.equals(UNDECODABLE)) {
        throw new IllegalArgumentException("this entry cannot be decoded");
      }
      return Optional.of(
          new BackendServer(
              BackendServerId.of(name),
              "s",
              "10.0.0.1",
              80,
              FailureDomainId.of("d"),
              4,
              true,
              nowNanos));
    }

    @Override
    public FailureDomainId decodeDrainedDomain(String name) {
      return FailureDomainId.of(name);
    }

    @Override
    public String removalCompletedStatus() {
      return "";
    }
  }

  @BeforeMethod
  public void startLoop() {
    loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    fleet = new FleetView();
  }

  @AfterMethod(alwaysRun = true)
  public void stopLoop() {
    loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private ObjectChange written(VersionedObject object) {
    return new ObjectChange(object.name(), object.version(), Optional.of(object.value()));
  }

  @DataProvider
  public Object[][] deliveries() {
    return new Object[][] {{"snapshot"}, {"changes"}};
  }

  @Test(dataProvider = "deliveries")
  public void undecodableEntryLeavesTheOthersInTheFleet(String delivery) {
    AtomicInteger changes = new AtomicInteger();
    EventLog log = new EventLog(new PrintStream(OutputStream.nullOutputStream()), () -> 0);
    BackendServerWatcher watcher =
        new BackendServerWatcher(
            loop, fleet, new ThrowingDecoder(), log, () -> 0, changes::incrementAndGet);
    ImmutableList<VersionedObject> objects =
        ImmutableList.of(
            new VersionedObject("a", 1, "sound"),
            new VersionedObject("b", 2, UNDECODABLE),
            new VersionedObject("c", 3, "sound"));
    if (delivery.equals("snapshot")) {
      watcher.onSnapshot(new ObjectPage(3, objects, true));
    } else {
      watcher.onChanges(new ChangeBatch(3, objects.stream().map(this::written).toList()));
    }
    loop.submit(() -> {}).syncUninterruptibly();
    assertEquals(
        fleet.backends().stream()
            .map(backend -> backend.id().value())
            .collect(Collectors.joining(" ")),
        "a c");
    assertEquals(changes.get(), 1);
  }
}
