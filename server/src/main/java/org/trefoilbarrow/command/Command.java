package org.trefoilbarrow.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ServiceLoader;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A command of the command line. Other modules add theirs through {@link ServiceLoader}. */
public interface Command {

  /** Returns the name by which the command line calls the command. */
  default String name() {
    throw new UnsupportedOperationException("commands of this module are named by Main");
  }

  /** Returns a description of the command in one line. */
  String summary();

  /** Returns the parser of the options and arguments of the command. */
  OptionParser parser();

  /**
   * Runs the command.
   *
   * @throws CommandException if it ends with an error
   */
  ExitCode run(OptionSet options, PrintStream output) throws IOException, InterruptedException;
}
