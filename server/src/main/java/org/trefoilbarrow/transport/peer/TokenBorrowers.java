package org.trefoilbarrow.transport.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.trefoilbarrow.coordination.token.BorrowedTokens;

/**
 * The loan books of the resources that this host's callers use.
 *
 * <p>Thread-safe; each book is used under its own lock, and no lock is held while another is taken.
 */
final class TokenBorrowers {
  private final Map<String, Borrower> borrowers = new ConcurrentHashMap<>();

  /** One loan book, its lock, and the callers that wait for its tokens. */
  static final class Borrower {
    final BorrowedTokens book = new BorrowedTokens();
    final ReentrantLock lock = new ReentrantLock();
    final Condition changed = lock.newCondition();

    /** Runs an action under the lock and wakes the callers that wait. */
    void update(Consumer<BorrowedTokens> action) {
      lock.lock();
      try {
        action.accept(book);
        changed.signalAll();
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
