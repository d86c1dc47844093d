package org.trefoilbarrow.command;

/** The exit codes of the command line. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The command failed, or {@code diff} found differences. */
  FAILED(1),
  /** The arguments, or a file that they name, are invalid. */
  USAGE(2),
  /** The host refused the request. */
  REFUSED(3),
  /** The host did not respond. */
  NO_ANSWER(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
