package org.trefoilbarrow.coordination.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;

/**
 * Chooses the less loaded of two random candidates. Hosts that know only their own load would all
 * choose the same server if each took its best one.
 */
final class TwoRandomChoices {
  private TwoRandomChoices() {}

  /**
   * Returns one of the candidates, if there are any.
   *
   * @param load the load of a candidate, as far as it is known
   * @param random supplies numbers from 0 to 1
   */
  static <T> Optional<T> choose(
      List<T> candidates, ToDoubleFunction<T> load, DoubleSupplier random) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    int first = indexBelow(candidates.size(), random);
    if (candidates.size() == 1) {
      return Optional.of(candidates.get(first));
    }
    int second = (first + 1 + indexBelow(candidates.size() - 1, random)) % candidates.size();
    T one = candidates.get(first);
    T other = candidates.get(second);
    return Optional.of(load.applyAsDouble(other) < load.applyAsDouble(one) ? other : one);
  }

  private static int indexBelow(int count, DoubleSupplier random) {
    return Math.min(count - 1, (int) (random.getAsDouble() * count));
  }
}
