package org.trefoilbarrow.standins;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Runs one stand-in as a process: {@code platform}, {@code engine} or {@code service}. */
public final class StandInMain {
  private static final int EXIT_USAGE = 2;

  private StandInMain() {}

  /** Starts the stand-in that the arguments name, and waits until the process is terminated. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> port =
        parser.accepts("port").withRequiredArg().ofType(Integer.class).required();
    OptionSpec<String> models = parser.accepts("models").withRequiredArg().defaultsTo("echo-small");
    OptionSpec<Integer> capacity = number(parser, "capacity", 64);
    OptionSpec<Integer> firstToken = number(parser, "first-token-millis", 20);
    OptionSpec<Integer> token = number(parser, "token-millis", 5);
    OptionSpec<Integer> coldCapacity = number(parser, "cold-capacity", 64);
    OptionSpec<Integer> cold = number(parser, "cold-millis", 0);
    OptionSpec<Integer> lag = number(parser, "report-lag-millis", 500);
    OptionSpec<String> kind = parser.nonOptions("platform, engine or service");
    OptionSet options;
    try {
      options = parser.parse(arguments);
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_USAGE);
      return;
    }
    String name = options.valuesOf(kind).stream().findFirst().orElse("");
    switch (name) {
      case "platform" -> PlatformStandIn.start(options.valueOf(port));
      case "service" -> ServiceStandIn.start(options.valueOf(port));
      case "engine" -> {
        List<String> served = Splitter.on(',').splitToList(options.valueOf(models));
        EngineProfile profile =
            new EngineProfile(
                served,
                options.valueOf(capacity),
                options.valueOf(firstToken),
                options.valueOf(token),
                options.valueOf(coldCapacity),
                options.valueOf(cold),
                options.valueOf(lag));
        EngineStandIn.start(options.valueOf(port), profile);
      }
      default -> {
        System.err.printf("stand-in \"%s\" does not exist%n", name);
        parser.printHelpOn(System.err);
        System.exit(EXIT_USAGE);
      }
    }
    new CountDownLatch(1).await();
  }

  private static OptionSpec<Integer> number(OptionParser parser, String name, int defaultValue) {
    return parser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(defaultValue);
  }
}
