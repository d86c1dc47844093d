package org.trefoilbarrow.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ServiceLoader;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A command of the command line. Other modules add theirs through {@link ServiceLoader}. */
public interface Command {

  /** Returns the word by which the command is called. */
  default String name() {
    throw new UnsupportedOperationException("only commands of other modules name themselves");
  }

  /** Returns what the command does, in one line. */
  String summary();

  /** Returns the options and arguments that the command takes. */
  OptionParser parser();

  /**
   * Runs the command.
   *
   * @throws CommandException if it ends with an error
   */
  ExitCode run(OptionSet options, PrintStream output) throws IOException, InterruptedException;
}
