package org.trefoilbarrow.transport.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.trefoilbarrow.coordination.token.BorrowedTokens;

/**
 * The borrowed tokens of the resources that this host's callers use.
 *
 * <p>Thread-safe; each resource has its own lock, and no lock is held while another is acquired.
 */
final class TokenBorrowers {
  private final Map<String, Borrower> borrowers = new ConcurrentHashMap<>();

  /** The borrowed tokens of one resource, their lock, and the condition that callers wait on. */
  static final class Borrower {
    final BorrowedTokens tokens = new BorrowedTokens();
    final ReentrantLock lock = new ReentrantLock();
    final Condition tokensChanged = lock.newCondition();

    /** Runs an action under the lock and wakes the waiting callers. */
    void update(Consumer<BorrowedTokens> action) {
      lock.lock();
      try {
        action.accept(tokens);
        tokensChanged.signalAll();
      } finally {
        lock.unlock();
      }
    }
  }

  Borrower get(String resource) {
    return borrowers.computeIfAbsent(resource, unused -> new Borrower());
  }

  Map<String, Borrower> all() {
    return borrowers;
  }
}
