package org.trefoilbarrow.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against changes that are missing for a host that continues its watch from a log. */
public final class ChangeLogTest {
  private static ChangeBatch batch(long revision, String... names) {
    ImmutableList.Builder<ObjectChange> changes = ImmutableList.builder();
    for (String name : names) {
      changes.add(new ObjectChange(name, revision, Optional.of("value")));
    }
    return new ChangeBatch(revision, changes.build());
  }

  private static List<String> names(ChangeLog log, long revision) {
    return log.since(revision).orElseThrow().changes().stream().map(ObjectChange::name).toList();
  }

  @Test
  public void changesAfterARevisionAreReturnedInOrder() {
    ChangeLog log = new ChangeLog(10_000);
    assertTrue(log.since(5).isEmpty());
    log.beginWatch(5);
    log.append(batch(7, "a", "b"));
    log.beginWatch(7);
    log.append(batch(9));
    log.beginWatch(9);
    log.append(batch(12, "c"));
    assertEquals(names(log, 5), ImmutableList.of("a", "b", "c"));
    assertEquals(names(log, 7), ImmutableList.of("c"));
    assertEquals(names(log, 12), ImmutableList.of());
    assertEquals(log.since(7).orElseThrow().revision(), 12);
    assertEquals(log.since(20).orElseThrow().revision(), 20);
    assertTrue(log.since(4).isEmpty());
  }

  @Test
  public void gapBetweenWatchesDropsWhatWasBefore() {
    ChangeLog log = new ChangeLog(10_000);
    log.beginWatch(5);
    log.append(batch(7, "a"));
    log.beginWatch(30);
    assertTrue(log.since(7).isEmpty());
    assertEquals(names(log, 30), ImmutableList.of());
  }

  @Test
  public void fullLogDropsTheOldestChanges() {
    ChangeLog log = new ChangeLog(300);
    log.beginWatch(0);
    for (int revision = 1; revision <= 10; revision++) {
      log.append(batch(revision, "a" + revision));
    }
    assertTrue(log.since(1).isEmpty());
    assertEquals(names(log, 8), ImmutableList.of("a9", "a10"));
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
  }

  /** A reader that starts at any revision of the log ends with the same objects as the writer. */
  @Test(dataProvider = "seeds")
  public void readerFromAnyRevisionEndsWithTheObjectsOfTheWriter(long seed) {
    Random random = new Random(seed);
    ChangeLog log = new ChangeLog(1_000_000);
    List<Map<String, Long>> states = new ArrayList<>();
    Map<String, Long> objects = new HashMap<>();
    states.add(new HashMap<>(objects));
    long revision = 0;
    while (revision < 60) {
      log.beginWatch(revision);
      ImmutableList.Builder<ObjectChange> changes = ImmutableList.builder();
      int count = random.nextInt(4);
      for (int index = 0; index < count; index++) {
        revision++;
        String name = "o" + random.nextInt(5);
        boolean deleted = random.nextInt(3) == 0;
        if (deleted) {
          objects.remove(name);
        } else {
          objects.put(name, revision);
        }
        changes.add(
            new ObjectChange(name, revision, deleted ? Optional.empty() : Optional.of("v")));
        states.add(new HashMap<>(objects));
      }
      log.append(new ChangeBatch(revision, changes.build()));
    }
    for (int start = 0; start < states.size(); start++) {
      Map<String, Long> read = new HashMap<>(states.get(start));
      for (ObjectChange change : log.since(start).orElseThrow().changes()) {
        if (change.value().isPresent()) {
          read.put(change.name(), change.version());
        } else {
          read.remove(change.name());
        }
      }
      assertEquals(read, objects, "from revision " + start);
    }
  }
}
