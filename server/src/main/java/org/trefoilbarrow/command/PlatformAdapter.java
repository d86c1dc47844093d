package org.trefoilbarrow.command;

import java.util.function.LongSupplier;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.transport.forward.FleetDecoder;
import org.trefoilbarrow.transport.forward.HttpDialect;

/** All that a host needs to run on an operators' platform. */
public interface PlatformAdapter {

  /** How callers and backend servers speak. */
  HttpDialect dialect();

  /** How operators and backend servers write to the platform. */
  FleetDecoder decoder();

  /** Returns the platform at an address. */
  ConnectedPlatform connect(String address, double callsPerSecond, LongSupplier nanoClock);

  /** A platform, and when it was last heard. */
  interface ConnectedPlatform extends Platform {
    /** Returns when the platform last answered, by the clock given on connecting. */
    long lastResponseNanos();

    /** Returns the number of calls made so far. */
    long callCount();

    /**
     * Asks the platform a question that costs little, to see whether it answers.
     *
     * @throws org.trefoilbarrow.state.PlatformException if it does not
     */
    void probe();

    /** Ends all watches that wait, as if the platform had not answered them. */
    void abortWatches();
  }
}
