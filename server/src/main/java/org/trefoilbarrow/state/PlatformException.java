package org.trefoilbarrow.state;

/**
 * Thrown when a call to the platform fails. A write may have taken effect unless {@link
 * #isNotApplied()} returns true.
 */
public final class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean notApplied;

  /** Creates an exception; {@code notApplied} states that the call certainly had no effect. */
  public PlatformException(String message, Throwable cause, boolean notApplied) {
    super(message, cause);
    this.notApplied = notApplied;
  }

  /** Returns whether the call certainly had no effect. */
  public boolean isNotApplied() {
    return notApplied;
  }
}
