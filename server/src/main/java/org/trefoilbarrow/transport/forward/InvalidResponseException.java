package org.trefoilbarrow.transport.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.handler.codec.DecoderException;

/** Thrown when the bytes from a backend server are no HTTP response. */
final class InvalidResponseException extends DecoderException {
  private static final long serialVersionUID = 1;

  private final LossCause lossCause;

  InvalidResponseException(LossCause lossCause) {
    super(lossCause.name());
    this.lossCause = checkNotNull(lossCause, "lossCause");
  }

  LossCause lossCause() {
    return lossCause;
  }
}
