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

public final class EventStreamTest {
  private static final String TEXT =
      "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: more\r\n\r\n: note\n\nid: 3\ndata: th";

  @DataProvider
  public Object[][] partSizes() {
    return new Object[][] {{1}, {2}, {7}, {1000}};
  }

  @Test(dataProvider = "partSizes")
  public void eventsAreCutWholeHoweverTheyArrive(int size) {
    EventStream stream = new EventStream();
    List<EventStream.Event> events = new ArrayList<>();
    byte[] bytes = TEXT.getBytes(UTF_8);
    for (int from = 0; from < bytes.length; from += size) {
      int length = Math.min(size, bytes.length - from);
      events.addAll(stream.take(Unpooled.wrappedBuffer(bytes, from, length)));
    }
    assertEquals(events.size(), 3);
    assertEquals(events.get(0).id(), Optional.of("1"));
    assertEquals(events.get(1).data(), Optional.of("two\nmore"));
    assertEquals(events.get(2).id(), Optional.empty());
    assertTrue(stream.isInsideEvent(), "the third numbered event is not whole");
    assertFalse(new EventStream().isInsideEvent());
  }

  @DataProvider
  public Object[][] followers() {
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

  @Test(dataProvider = "followers")
  public void anEventThatIsThereAlreadyComesAfterNothing(
      String id, Optional<String> last, boolean after) {
    EventStream.Event event =
        new EventStream()
            .take(Unpooled.wrappedBuffer(("id: " + id + "\n\n").getBytes(UTF_8)))
            .get(0);
    assertEquals(event.isAfter(last), after);
  }
}
