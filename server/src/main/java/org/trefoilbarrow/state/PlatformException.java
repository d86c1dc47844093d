package org.trefoilbarrow.state;

/**
 * A call to the platform failed. Unless {@link #isNotApplied()} holds, a write may have taken
 * effect.
 */
public final class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean notApplied;

  /** Creates an error; {@code notApplied} tells that the call certainly had no effect. */
  public PlatformException(String message, Throwable cause, boolean notApplied) {
    super(message, cause);
    this.notApplied = notApplied;
  }

  /** Returns whether the call certainly had no effect. */
  public boolean isNotApplied() {
    return notApplied;
  }
}
