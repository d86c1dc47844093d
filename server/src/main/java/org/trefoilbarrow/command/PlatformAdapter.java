package org.trefoilbarrow.command;

import java.util.function.LongSupplier;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.transport.forward.FleetDecoder;
import org.trefoilbarrow.transport.forward.HttpDialect;

/** Connects a {@link FleetHost} to one kind of operators' platform. */
public interface PlatformAdapter {

  /** Returns the HTTP conventions of callers and backend servers. */
  HttpDialect dialect();

  /** Returns the decoder of what operators and backend servers write to the platform. */
  FleetDecoder decoder();

  /** Returns the platform at an address. */
  ConnectedPlatform connect(String address, double callsPerSecond, LongSupplier nanoClock);

  /** A platform that also reports its calls and the time of its last response. */
  interface ConnectedPlatform extends Platform {
    /** Returns when the platform last responded, by the clock that was given to {@code connect}. */
    long lastResponseNanos();

    /** Returns the number of calls made so far. */
    long callCount();

    /**
     * Makes a cheap call to check whether the platform responds.
     *
     * @return a revision of the configuration that the platform has, which may be seconds old; 0 if
     *     it has none
     * @throws org.trefoilbarrow.state.PlatformException if it does not
     */
    long probe();

    /** Aborts all long polls, which then fail as if the platform had not responded. */
    void abortWatches();

    /** Aborts the long poll of one collection in the same way. */
    void abortWatch(ObjectKind kind);
  }
}
