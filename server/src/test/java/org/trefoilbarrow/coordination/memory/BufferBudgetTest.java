package org.trefoilbarrow.coordination.memory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class BufferBudgetTest {
  private static final long MAX_BYTES = 1000;

  @Test
  public void hold_givesUpTheLargestResponseAndNotTheOneThatGrew() {
    BufferBudget<String> budget = BufferBudget.of(MAX_BYTES);
    assertEquals(budget.hold("endless", 900), ImmutableList.of());
    assertEquals(budget.hold("sound", 100), ImmutableList.of());
    assertEquals(budget.hold("sound", 101), ImmutableList.of("endless"));
    assertEquals(budget.totalBytes(), 101);
  }

  @Test
  public void hold_givesUpAResponseThatIsTooLargeAlone() {
    BufferBudget<String> budget = BufferBudget.of(MAX_BYTES);
    assertEquals(budget.hold("endless", MAX_BYTES + 1), ImmutableList.of("endless"));
    assertEquals(budget.totalBytes(), 0);
  }

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[50][];
    for (int seed = 0; seed < seeds.length; seed++) {
      seeds[seed] = new Object[] {(long) seed};
    }
    return seeds;
  }

  /** Faulty servers sent bytes without end, and the host that kept them ran out of memory. */
  @Test(dataProvider = "seeds")
  public void soundResponsesGoOnBesideEndlessOnes(long seed) {
    Random random = new Random(seed);
    BufferBudget<Integer> budget = BufferBudget.of(MAX_BYTES);
    Map<Integer, Long> endless = new HashMap<>();
    Set<Integer> givenUp = new HashSet<>();
    int next = 0;
    for (int step = 0; step < 5000; step++) {
      if (step % 100 == 0) {
        endless.put(next++, 0L);
      }
      for (int holder : ImmutableList.copyOf(endless.keySet())) {
        long bytes = endless.merge(holder, (long) random.nextInt(20), Long::sum);
        givenUp.addAll(budget.hold(holder, bytes));
      }
      endless.keySet().removeAll(givenUp);
      int sound = next++;
      givenUp.addAll(budget.hold(sound, 1 + random.nextInt(10)));
      assertTrue(budget.totalBytes() <= MAX_BYTES);
      assertTrue(!givenUp.contains(sound) || endless.isEmpty());
      budget.release(sound);
    }
  }
}
