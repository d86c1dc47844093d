package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.FormatMethod;
import com.google.errorprone.annotations.FormatString;

/** An error that is reported to the caller, with its kind and a message. */
public final class ServiceException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;

  /** Creates an exception with a formatted message. */
  @FormatMethod
  public ServiceException(ErrorKind kind, @FormatString String format, Object... arguments) {
    super(String.format(format, arguments));
    this.kind = checkNotNull(kind, "kind");
  }

  /** Creates an exception with a cause. */
  public ServiceException(ErrorKind kind, Throwable cause, String message) {
    super(message, cause);
    this.kind = checkNotNull(kind, "kind");
  }

  /** Returns the kind of error. */
  public ErrorKind kind() {
    return kind;
  }
}
