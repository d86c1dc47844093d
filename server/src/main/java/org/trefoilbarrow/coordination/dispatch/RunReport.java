package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * What the host that sent work to a backend server saw of the response.
 *
 * @param responseBegan whether the server began to answer
 * @param firstPartNanos the time from sending the work to the first part of the response, if there
 *     was one
 * @param outputEvents the number of events of the response
 */
public record RunReport(boolean responseBegan, OptionalLong firstPartNanos, int outputEvents) {
  /** The report of work whose response did not begin. */
  public static final RunReport NONE = new RunReport(false, OptionalLong.empty(), 0);

  /** Checks the components. */
  public RunReport {
    checkNotNull(firstPartNanos, "firstPartNanos");
  }

  /** Returns a report without measured times. */
  public static RunReport of(boolean responseBegan) {
    return new RunReport(responseBegan, OptionalLong.empty(), 0);
  }
}
