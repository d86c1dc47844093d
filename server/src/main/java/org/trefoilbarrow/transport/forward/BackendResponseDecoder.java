package org.trefoilbarrow.transport.forward;

import com.google.common.collect.Iterables;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import org.trefoilbarrow.protocol.ResponseSyntax;

/**
 * Decodes the responses on a connection to a backend server, one request at a time. Bytes that
 * arrive while no request is open belong to no response that anyone waits for, so the connection is
 * closed after them; they would become the beginning of the next response otherwise. The head among
 * them is decoded nevertheless, since it may state that the server is leaving. Used only on the
 * event loop's thread.
 */
final class BackendResponseDecoder extends HttpResponseDecoder {
  /** The first byte of a status line. */
  private static final byte FIRST_BYTE = 'H';

  private boolean requestIsOpen;
  private boolean atHead = true;
  private boolean inputEnded;
  private boolean headRequested;

  /** Called before a request is sent. */
  void beginRequest(HttpMethod method) {
    requestIsOpen = true;
    headRequested = method.equals(HttpMethod.HEAD);
  }

  /**
   * Called at the end of a response. Returns whether nothing was received beyond it, so that the
   * connection may be reused.
   */
  boolean endRequest() {
    requestIsOpen = false;
    return actualReadableBytes() == 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object received) throws Exception {
    boolean belongsToRequest = requestIsOpen;
    super.channelRead(context, received);
    if (!belongsToRequest) {
      context.close();
    }
  }

  /**
   * Decodes the next part of a response. Blanks and control bytes before a head, which the base
   * class skips, make the response invalid.
   */
  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf received, List<Object> decoded)
      throws Exception {
    if (atHead && received.isReadable()) {
      if (received.getByte(received.readerIndex()) != FIRST_BYTE) {
        received.skipBytes(received.readableBytes());
        decoded.add(invalidResponse(LossCause.STATUS_LINE));
        return;
      }
      atHead = false;
    }
    super.decode(context, received, decoded);
    atHead |= Iterables.getLast(decoded, null) instanceof LastHttpContent;
  }

  /** Records that the server has ended its side of the connection after all that it sent. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    inputEnded |= event instanceof ChannelInputShutdownEvent;
    super.userEventTriggered(context, event);
  }

  /**
   * Decodes the end of the connection, which is that of a response without a length or chunks. Only
   * the end that the server sent counts: after a reset, a failed write or a cancellation, nothing
   * shows how much of the response is missing.
   */
  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf received, List<Object> decoded)
      throws Exception {
    if (inputEnded) {
      super.decodeLast(context, received, decoded);
    }
  }

  private HttpMessage invalidResponse(LossCause cause) {
    HttpMessage response = createInvalidMessage();
    response.setDecoderResult(DecoderResult.failure(new InvalidResponseException(cause)));
    return response;
  }

  /** Creates the response of a status line, which was split into its words. */
  @Override
  protected HttpMessage createMessage(String[] words) {
    if (!ResponseSyntax.isStatusLine(String.join(" ", words))) {
      throw new InvalidResponseException(LossCause.STATUS_LINE);
    }
    return super.createMessage(words);
  }

  /**
   * Returns the name of a field of the head or the trailer. The base class ends a name at its first
   * blank and skips what follows up to the colon.
   */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    AsciiString name = super.splitHeaderName(line, start, length);
    if (line[start + length] != ':' || !ResponseSyntax.isFieldName(name)) {
      throw new InvalidResponseException(LossCause.FIELD_NAME);
    }
    return name;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage response) {
    return headRequested || super.isContentAlwaysEmpty(response);
  }
}
