package org.trefoilbarrow.coordination.watch;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.coordination.watch.CollectionRevisions.Cursor;
import org.trefoilbarrow.coordination.watch.CollectionRevisions.MissedChange;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.ObjectKind;

/** Checks when a watch counts as having missed a change. */
public final class CollectionRevisionsTest {
  private static final ObjectKind KIND = ObjectKind.JOB_END;
  private static final Optional<HostId> PEER = Optional.of(HostId.of("peer"));
  private static final Optional<HostId> OTHER = Optional.of(HostId.of("other"));
  private static final long TIMEOUT = CollectionRevisions.REPORT_TIMEOUT.toNanos();

  private final CollectionRevisions revisions = new CollectionRevisions();

  /** A host whose watch had lost an answer believed for as long as the watch waited. */
  @Test
  public void changeThatOnlyAPeerHasReadIsMissedAfterTheTimeout() {
    CollectionRevisions host = new CollectionRevisions();
    host.beginWatch(KIND, 10, 0);
    host.recordTold(KIND, 12, PEER, 5);
    assertEquals(host.takeMissed(5 + TIMEOUT - 1), ImmutableList.of());
    host.recordTold(KIND, 14, OTHER, 6);
    assertEquals(
        host.takeMissed(5 + TIMEOUT),
        ImmutableList.of(new MissedChange(KIND, 10, 14, ImmutableList.of(OTHER.get()))));
    assertEquals(host.takeMissed(5 + 2 * TIMEOUT), ImmutableList.of(), "it was reported");
    host.beginWatch(KIND, 10, 6 + 2 * TIMEOUT);
    assertEquals(host.takeMissed(5 + 3 * TIMEOUT), ImmutableList.of(), "it has begun anew");
    assertEquals(host.takeMissed(6 + 3 * TIMEOUT).size(), 1, "two answers in a row were lost");
  }

  /** Each row: what happens after a watch from revision 10 has begun and a peer told of 12. */
  @DataProvider
  public Object[][] watchesThatMissNothing() {
    return new Object[][] {
      {"the watch has ended", (Step) host -> host.endWatch(KIND)},
      {"the next one has read the change", (Step) host -> host.beginWatch(KIND, 12, 1)},
      {
        "changes follow on each other, and each is read",
        (Step)
            host -> {
              host.beginWatch(KIND, 12, 1);
              host.recordTold(KIND, 13, PEER, TIMEOUT - 1);
            }
      },
      {
        "the next watch has just begun",
        (Step)
            host -> {
              host.endWatch(KIND);
              host.beginWatch(KIND, 10, TIMEOUT - 1);
            }
      },
    };
  }

  /** A step of a test. */
  private interface Step {
    void apply(CollectionRevisions host);
  }

  @Test(dataProvider = "watchesThatMissNothing")
  public void watchThatReportsItsChangesInTimeHasMissedNothing(String name, Step step) {
    CollectionRevisions host = new CollectionRevisions();
    host.beginWatch(KIND, 10, 0);
    host.recordTold(KIND, 12, PEER, 0);
    step.apply(host);
    assertEquals(host.takeMissed(TIMEOUT), ImmutableList.of(), name);
  }

  @Test
  public void changeThatAPeerToldOfBeforeTheWatchBeganIsMissedToo() {
    CollectionRevisions host = new CollectionRevisions();
    host.recordTold(KIND, 12, PEER, 0);
    host.beginWatch(KIND, 10, 1);
    assertEquals(host.takeMissed(TIMEOUT).size(), 0);
    assertEquals(host.takeMissed(1 + TIMEOUT).size(), 1);
  }

  @Test
  public void watchOfLargeObjectsHasMoreTime() {
    CollectionRevisions host = new CollectionRevisions();
    host.beginWatch(ObjectKind.RESULT, 10, 0);
    host.recordTold(ObjectKind.RESULT, 12, PEER, 0);
    Duration timeout = CollectionRevisions.REPORT_TIMEOUT_OF_LARGE_OBJECTS;
    assertEquals(host.takeMissed(timeout.toNanos() - 1).size(), 0);
    assertEquals(host.takeMissed(timeout.toNanos()).size(), 1);
  }

  @Test
  public void onlyThePlatformMayTellOfAChange() {
    CollectionRevisions host = new CollectionRevisions();
    host.beginWatch(KIND, 10, 0);
    host.recordTold(KIND, 12, Optional.empty(), 0);
    assertEquals(
        host.takeMissed(TIMEOUT),
        ImmutableList.of(new MissedChange(KIND, 10, 12, ImmutableList.of())));
  }

  @Test
  public void peersAheadAreThoseThatKnowTheNewestChange() {
    revisions.recordTold(KIND, 12, PEER, 0);
    revisions.recordTold(KIND, 14, OTHER, 0);
    revisions.recordTold(KIND, 12, PEER, 0);
    assertEquals(revisions.peersAhead(KIND, 13), ImmutableList.of(OTHER.get()));
    assertEquals(revisions.peersAhead(KIND, 14), ImmutableList.of());
  }

  @Test
  public void peerIsToldOfEachChangeOnceAndOnlyOfCollectionsThatItWatches() {
    CollectionRevisions host = new CollectionRevisions();
    Cursor cursor = new Cursor(ImmutableSet.of(KIND, ObjectKind.HOST));
    host.recordKnown(KIND, 5);
    host.recordKnown(ObjectKind.RESULT, 6);
    assertEquals(host.takeNews(cursor), ImmutableMap.of(KIND, 5L));
    host.recordKnown(KIND, 4);
    assertEquals(host.takeNews(cursor), ImmutableMap.of());
    host.recordKnown(ObjectKind.HOST, 7);
    assertEquals(host.takeNews(cursor), ImmutableMap.of(ObjectKind.HOST, 7L));
    assertEquals(
        host.takeNews(new Cursor(ImmutableSet.of(KIND))),
        ImmutableMap.of(KIND, 5L),
        "a new connection");
  }
}
