package org.trefoilbarrow.state;

/**
 * Thrown when a call to the platform fails. A write may have taken effect unless {@link
 * #isNotApplied()} returns true.
 */
public final class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean notApplied;
  private final boolean tooLarge;

  /** Creates an exception; {@code notApplied} states that the call certainly had no effect. */
  public PlatformException(String message, Throwable cause, boolean notApplied) {
    this(message, cause, notApplied, false);
  }

  private PlatformException(String message, Throwable cause, boolean notApplied, boolean tooLarge) {
    super(message, cause);
    this.notApplied = notApplied;
    this.tooLarge = tooLarge;
  }

  /** Returns an exception for an object that is larger than the platform accepts. */
  public static PlatformException tooLarge(String message) {
    return new PlatformException(message, null, true, true);
  }

  /** Returns whether the object is too large, so that the same write will never be accepted. */
  public boolean isTooLarge() {
    return tooLarge;
  }

  /** Returns whether the call certainly had no effect. */
  public boolean isNotApplied() {
    return notApplied;
  }
}
