package org.trefoilbarrow.coordination.election;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * What a host tells its peers about the dispatching host, in each heartbeat.
 *
 * @param term the newest term that the host knows, if it knows one
 * @param reachesHolder whether the host receives heartbeats of the holder of that term, or holds it
 * @param resigned whether the host holds that term and wants another host to take over
 * @param candidate whether the host can take over the next term
 */
public record TermReport(
    Optional<DispatchTerm> term, boolean reachesHolder, boolean resigned, boolean candidate) {
  /** The report of a host that knows nothing and cannot take over. */
  public static final TermReport NONE = new TermReport(Optional.empty(), false, false, false);

  /** Checks the components. */
  public TermReport {
    checkNotNull(term, "term");
  }

  /** Returns whether the reporting host knows the given term and reaches its holder. */
  boolean confirms(DispatchTerm other) {
    return reachesHolder && isAbout(other);
  }

  /** Returns whether the given term is the newest that the reporting host knows. */
  boolean isAbout(DispatchTerm other) {
    return term.isPresent() && term.get().number() == other.number();
  }
}
