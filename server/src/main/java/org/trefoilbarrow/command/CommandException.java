package org.trefoilbarrow.command;

import com.google.errorprone.annotations.FormatMethod;
import com.google.errorprone.annotations.FormatString;

/** Ends a command with a message for the user and an exit code. */
final class CommandException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  @FormatMethod
  CommandException(ExitCode exitCode, @FormatString String format, Object... arguments) {
    super(String.format(format, arguments));
    this.exitCode = exitCode;
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
