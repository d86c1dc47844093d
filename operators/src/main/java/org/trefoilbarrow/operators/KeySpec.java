package org.trefoilbarrow.operators;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;

/**
 * Describes a caller's key. Only the digest of the secret is stored.
 *
 * @param organisation the organisation to which requests with this key belong
 * @param digest the SHA-256 digest of the secret, in lower-case hexadecimal
 * @param withdrawn whether the key is refused
 */
public record KeySpec(String organisation, String digest, boolean withdrawn) implements EntitySpec {
  private static final int DIGEST_LENGTH = 64;

  /** Validates the components. */
  public KeySpec {
    checkNotNull(organisation, "organisation");
    checkNotNull(digest, "digest");
    checkArgument(
        digest.length() == DIGEST_LENGTH,
        "digest must have %s characters: %s",
        DIGEST_LENGTH,
        digest);
  }

  @Override
  public EntityKind kind() {
    return EntityKind.KEY;
  }

  @Override
  public List<EntityReference> references() {
    return List.of(new EntityReference(EntityKind.ORGANISATION, organisation));
  }
}
