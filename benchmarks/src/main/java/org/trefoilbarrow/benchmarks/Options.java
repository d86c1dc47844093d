package org.trefoilbarrow.benchmarks;

import joptsimple.OptionParser;
import joptsimple.OptionSpec;

/** Helper methods for the options of benchmarks. */
final class Options {
  private Options() {}

  /** Adds an option that takes a whole number. */
  static OptionSpec<Integer> number(OptionParser parser, String name, int defaultValue) {
    return parser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(defaultValue);
  }
}
