package org.trefoilbarrow.transport.http;

import com.google.common.collect.ImmutableSet;
import jakarta.inject.Inject;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.protocol.Digests;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.settings.OperatorsSettings;

/** Decides who may administer. Thread-safe. */
public final class OperatorAuthenticator {
  private static final String BEARER = "Bearer ";

  private final ImmutableSet<String> keyDigests;

  /** Creates a gate for the operators' keys in the settings. */
  @Inject
  public OperatorAuthenticator(OperatorsSettings settings) {
    this.keyDigests = ImmutableSet.copyOf(settings.keyDigests());
  }

  /**
   * Checks that a request comes from an operator.
   *
   * @throws ServiceException if it does not
   */
  void check(@Nullable String authorization) {
    boolean known =
        authorization != null
            && authorization.startsWith(BEARER)
            && keyDigests.contains(Digests.digest(authorization.substring(BEARER.length()).trim()));
    if (!known) {
      throw new ServiceException(ErrorKind.INVALID_KEY, "the request carries no operator's key");
    }
  }
}
