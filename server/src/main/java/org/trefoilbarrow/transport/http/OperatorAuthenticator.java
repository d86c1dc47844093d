package org.trefoilbarrow.transport.http;

import com.google.common.collect.ImmutableSet;
import jakarta.inject.Inject;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.protocol.Digests;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.settings.OperatorsSettings;

/** Authenticates operators by their keys. Thread-safe. */
public final class OperatorAuthenticator {
  private static final String BEARER_PREFIX = "Bearer ";

  private final ImmutableSet<String> keyDigests;

  /** Creates an authenticator for the operators' keys in the settings. */
  @Inject
  public OperatorAuthenticator(OperatorsSettings settings) {
    this.keyDigests = ImmutableSet.copyOf(settings.keyDigests());
  }

  /**
   * Checks that a request comes from an operator.
   *
   * @throws ServiceException if the request carries no operator's key
   */
  void check(@Nullable String authorization) {
    boolean known =
        authorization != null
            && authorization.startsWith(BEARER_PREFIX)
            && keyDigests.contains(
                Digests.digest(authorization.substring(BEARER_PREFIX.length()).trim()));
    if (!known) {
      throw new ServiceException(
          ErrorKind.INVALID_KEY, "the request has no operator's key in its Authorization header");
    }
  }
}
