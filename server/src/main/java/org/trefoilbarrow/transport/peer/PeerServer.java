package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.trefoilbarrow.transport.peer.generated.PeerService;

/** The Thrift server that receives messages of other hosts. */
public final class PeerServer implements AutoCloseable {
  /** The largest message that is sent or accepted. */
  static final int MAX_FRAME_BYTES = 4 << 20;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int SELECTOR_THREADS = 1;
  private static final int WORKER_THREADS = 4;

  private final TServer server;
  private final Thread thread;

  private PeerServer(TServer server) {
    this.server = server;
    this.thread = new Thread(server::serve, "peer-server");
    thread.setDaemon(true);
  }

  /**
   * Starts a server on the given address.
   *
   * @throws IllegalStateException if the address cannot be bound
   */
  public static PeerServer start(InetSocketAddress address, PeerService.Iface service) {
    checkNotNull(service, "service");
    try {
      TThreadedSelectorServer.Args arguments =
          new TThreadedSelectorServer.Args(new TNonblockingServerSocket(address))
              .selectorThreads(SELECTOR_THREADS)
              .workerThreads(WORKER_THREADS)
              .processor(new PeerService.Processor<>(service))
              .transportFactory(new TFramedTransport.Factory(MAX_FRAME_BYTES))
              .protocolFactory(new TCompactProtocol.Factory());
      arguments.maxReadBufferBytes = MAX_FRAME_BYTES;
      PeerServer started = new PeerServer(new TThreadedSelectorServer(arguments));
      started.thread.start();
      logger.atInfo().log("peer: listening on %s", address);
      return started;
    } catch (TTransportException e) {
      throw new IllegalStateException(
          String.format("cannot listen for peers on address \"%s\"", address), e);
    }
  }

  @Override
  public void close() {
    server.stop();
  }
}
