package org.trefoilbarrow.transport.forward;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the splitting of a stream into events and the order of events. */
public final class EventStreamTest {
  private static final String STREAM =
      "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: more\r\n\r\n: note\n\nid: 3\ndata: th";

  @DataProvider
  public Object[][] partSizes() {
    return new Object[][] {{1}, {2}, {7}, {1000}};
  }

  @Test(dataProvider = "partSizes")
  public void eventsAreCompleteForAnyPartSize(int partSize) {
    EventStream stream = new EventStream();
    List<EventStream.Event> events = new ArrayList<>();
    byte[] bytes = STREAM.getBytes(UTF_8);
    for (int from = 0; from < bytes.length; from += partSize) {
      int length = Math.min(partSize, bytes.length - from);
      events.addAll(stream.append(Unpooled.wrappedBuffer(bytes, from, length)));
    }
    assertEquals(events.size(), 3);
    assertEquals(events.get(0).id(), Optional.of("1"));
    assertEquals(events.get(1).data(), Optional.of("two\nmore"));
    assertEquals(events.get(2).id(), Optional.empty());
    assertTrue(stream.isInsideEvent(), "the event with id 3 is incomplete");
    assertFalse(new EventStream().isInsideEvent());
  }

  @DataProvider
  public Object[][] eventOrders() {
    return new Object[][] {
      {"2", Optional.empty(), true},
      {"2", Optional.of("1"), true},
      {"10", Optional.of("9"), true},
      {"2", Optional.of("2"), false},
      {"1", Optional.of("2"), false},
      {"b", Optional.of("a"), true},
      {"a", Optional.of("a"), false}
    };
  }

  @Test(dataProvider = "eventOrders")
  public void isAfterComparesIdentifiers(String id, Optional<String> last, boolean expected) {
    EventStream.Event event =
        new EventStream()
            .append(Unpooled.wrappedBuffer(("id: " + id + "\n\n").getBytes(UTF_8)))
            .get(0);
    assertEquals(event.isAfter(last), expected);
  }
}
