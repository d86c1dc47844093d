package org.trefoilbarrow.command;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.state.ObjectKind;

public final class CollectionReadsTest {
  @DataProvider
  public Object[][] reads() {
    return new Object[][] {
      {ImmutableList.of(), false},
      {ImmutableList.of(ObjectKind.HOST), false},
      // A collection that is read again after an outage stands for no other.
      {ImmutableList.of(ObjectKind.HOST, ObjectKind.HOST), false},
      {ImmutableList.of(ObjectKind.HOST, ObjectKind.JOB), true},
      {ImmutableList.of(ObjectKind.JOB, ObjectKind.HOST, ObjectKind.SHARE), true},
    };
  }

  @Test(dataProvider = "reads")
  public void hasReadAll_countsEachCollectionOnce(ImmutableList<ObjectKind> reads, boolean all) {
    CollectionReads collections =
        new CollectionReads(ImmutableList.of(ObjectKind.HOST, ObjectKind.JOB));
    reads.forEach(collections::onRead);
    assertEquals(collections.hasReadAll(), all);
  }
}
