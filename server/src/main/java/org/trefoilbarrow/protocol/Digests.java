package org.trefoilbarrow.protocol;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;

/** Computes SHA-256 digests of secrets and requests, and generates secrets. */
public final class Digests {
  private static final SecureRandom RANDOM = new SecureRandom();
  private static final int SECRET_BYTES = 24;

  private Digests() {}

  /** Returns the digest of the given text, in lower-case hexadecimal. */
  public static String digest(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  /** Returns the digest of the given bytes, in lower-case hexadecimal. */
  public static String digest(byte[] bytes) {
    return Hashing.sha256().hashBytes(bytes).toString();
  }

  /** Returns a new random secret with the given prefix. */
  public static String newSecret(String prefix) {
    byte[] bytes = new byte[SECRET_BYTES];
    RANDOM.nextBytes(bytes);
    return prefix + BaseEncoding.base64Url().omitPadding().encode(bytes);
  }
}
