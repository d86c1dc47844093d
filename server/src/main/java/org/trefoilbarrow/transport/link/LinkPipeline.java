package org.trefoilbarrow.transport.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import java.util.List;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TTransportException;
import org.trefoilbarrow.transport.link.generated.LinkMessage;

/** Netty handlers that frame and encode the messages of a link. */
final class LinkPipeline {
  private static final int LENGTH_BYTES = 4;

  /** Large enough for one answer with results of a batch job. */
  private static final int MAX_FRAME_BYTES = 8 << 20;

  private LinkPipeline() {}

  /** Adds the framing, the codec and the given handler to a new channel. */
  static void install(ChannelPipeline pipeline, ChannelHandler handler) throws TTransportException {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
    pipeline.addLast(new Codec());
    pipeline.addLast(handler);
  }

  private static final class Codec extends MessageToMessageCodec<ByteBuf, LinkMessage> {
    private final TSerializer serializer;
    private final TDeserializer deserializer;

    Codec() throws TTransportException {
      super(ByteBuf.class, LinkMessage.class);
      serializer = new TSerializer(new TCompactProtocol.Factory());
      deserializer = new TDeserializer(new TCompactProtocol.Factory());
    }

    @Override
    protected void encode(ChannelHandlerContext context, LinkMessage message, List<Object> out)
        throws TException {
      out.add(Unpooled.wrappedBuffer(serializer.serialize(message)));
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out)
        throws TException {
      LinkMessage message = new LinkMessage();
      deserializer.deserialize(message, ByteBufUtil.getBytes(frame));
      out.add(message);
    }
  }
}
