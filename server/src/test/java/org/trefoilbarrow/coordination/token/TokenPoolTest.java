package org.trefoilbarrow.coordination.token;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;

public final class TokenPoolTest {
  private static final long SECOND = 1_000_000_000;
  private static final TokenRules RULES =
      new TokenRules(2, Duration.ofSeconds(20), Duration.ofSeconds(1), Duration.ofMillis(200));
  private static final Grant FIRST = new Grant(100, 50, 1);
  private static final Grant LOWERED = new Grant(10, 4, 2);

  private static DelegationAnswer allShares(Optional<Grant> known) {
    return new DelegationAnswer(1, ImmutableSet.of(0, 1), 0, 20 * SECOND, known);
  }

  /** An owner that was paused while the grant was lowered learns the new grant from the holders. */
  @Test
  public void onDelegation_appliesTheNewerGrantOfTheHolder() {
    TokenPool pool = new TokenPool(RULES, FIRST, 1, SECOND);
    pool.onDelegation("holder", allShares(Optional.of(LOWERED)), SECOND, SECOND);
    assertEquals(pool.lend(1000, 11 * SECOND).tokens(), 4);
  }

  @Test
  public void onDelegation_ignoresAnOlderGrantOfTheHolder() {
    TokenPool pool = new TokenPool(RULES, LOWERED, 1, SECOND);
    pool.onDelegation("holder", allShares(Optional.of(FIRST)), SECOND, SECOND);
    assertEquals(pool.lend(1000, 11 * SECOND).tokens(), 4);
  }
}
