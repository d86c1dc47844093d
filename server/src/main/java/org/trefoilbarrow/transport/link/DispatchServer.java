package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.dispatch.Decision;
import org.trefoilbarrow.coordination.dispatch.Demand;
import org.trefoilbarrow.coordination.dispatch.DemandId;
import org.trefoilbarrow.coordination.dispatch.Dispatcher;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RefusalReason;
import org.trefoilbarrow.coordination.election.DispatchElection;
import org.trefoilbarrow.coordination.quarantine.PartQuarantine;
import org.trefoilbarrow.coordination.watch.CollectionRevisions;
import org.trefoilbarrow.coordination.watch.WatchedCollections;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.transport.link.generated.BackendLeavingMessage;
import org.trefoilbarrow.transport.link.generated.DemandMessage;
import org.trefoilbarrow.transport.link.generated.FinishedMessage;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.link.generated.PlacedMessage;
import org.trefoilbarrow.transport.link.generated.PulseMessage;
import org.trefoilbarrow.transport.link.generated.RefusedMessage;
import org.trefoilbarrow.transport.link.generated.RevokedMessage;

/**
 * Accepts the links of other hosts and, while this host holds the newest term, submits their
 * demands to the dispatcher. A host whose heartbeats time out is treated as lost, so that its slots
 * are released. Used only on the event loop's thread.
 */
final class DispatchServer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration BIND_RETRY_DELAY = Duration.ofMillis(300);

  private final EventLoop loop;
  private final PeerAddress self;
  private final Dispatcher dispatcher;
  private final PartQuarantine quarantine;
  private final DispatchElection election;
  private final Heartbeats heartbeats;
  private final LongSupplier nanoClock;
  private final Consumer<ImmutableList<Decision>> decisions;
  private final BiConsumer<HostId, BackendLeavingMessage> onBackendLeaving;
  private final Runnable onClientsChanged;
  private final Map<HostId, ClientHandler> clients = new HashMap<>();
  private final Set<HostId> followers = new HashSet<>();
  private PlacementClient.MessageHandler messageHandler = PlacementClient.MessageHandler.NONE;

  /**
   * Creates a server that does not listen yet.
   *
   * @param decisions carries out the decisions of the dispatcher
   * @param onBackendLeaving receives what hosts report about servers that are leaving
   * @param onClientsChanged runs whenever a host has connected or is lost
   */
  DispatchServer(
      EventLoop loop,
      PeerAddress self,
      Dispatcher dispatcher,
      PartQuarantine quarantine,
      DispatchElection election,
      Heartbeats heartbeats,
      LongSupplier nanoClock,
      Consumer<ImmutableList<Decision>> decisions,
      BiConsumer<HostId, BackendLeavingMessage> onBackendLeaving,
      Runnable onClientsChanged) {
    this.loop = checkNotNull(loop, "loop");
    this.self = checkNotNull(self, "self");
    this.dispatcher = checkNotNull(dispatcher, "dispatcher");
    this.quarantine = checkNotNull(quarantine, "quarantine");
    this.election = checkNotNull(election, "election");
    this.heartbeats = checkNotNull(heartbeats, "heartbeats");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.decisions = checkNotNull(decisions, "decisions");
    this.onBackendLeaving = checkNotNull(onBackendLeaving, "onBackendLeaving");
    this.onClientsChanged = checkNotNull(onClientsChanged, "onClientsChanged");
  }

  /** Sets the handler of the messages that do not concern placements. */
  void setMessageHandler(PlacementClient.MessageHandler handler) {
    this.messageHandler = checkNotNull(handler, "handler");
  }

  /** Returns the number of connected hosts. */
  int clientCount() {
    return clients.size();
  }

  /** Returns the number of hosts that get their slots here. */
  int followerCount() {
    return followers.size();
  }

  /** Returns how many of the given hosts get their slots here. */
  long countFollowers(Set<HostId> hosts) {
    return followers.stream().filter(hosts::contains).count();
  }

  /** Returns whether a host that serves callers gets its slots here. */
  boolean isChosenDispatcher() {
    return followers.stream().map(clients::get).anyMatch(client -> client.servesCallers);
  }

  /** Sends a heartbeat to all clients at once, after what this host reports has changed. */
  void announce() {
    for (ClientHandler client : clients.values()) {
      client.channel.writeAndFlush(
          LinkMessage.pulse(heartbeats.answer(0, isChosenDispatcher(), client.cursor)),
          client.channel.voidPromise());
    }
  }

  /** Drops the work of all clients, which the next dispatching host takes over. */
  void dropClients() {
    clients.keySet().forEach(dispatcher::hostRestarted);
  }

  /** Returns whether a host is connected to this one. */
  boolean isConnectedTo(HostId host) {
    return clients.containsKey(host);
  }

  /** Sends a decision to the host that it concerns, if that is connected. */
  void send(Decision decision) {
    if (clients.containsKey(decision.demand().host())) {
      send(decision.demand().host(), toMessage(decision));
    }
  }

  /** Sends a message to a host, if that is connected. */
  void send(HostId host, LinkMessage message) {
    ClientHandler client = clients.get(host);
    if (client != null) {
      client.channel.writeAndFlush(message, client.channel.voidPromise());
    }
  }

  /** Closes the links without messages for {@link Link#HEARTBEAT_TIMEOUT}. */
  void closeTimedOut(long nowNanos) {
    for (ClientHandler client : ImmutableList.copyOf(clients.values())) {
      if (client.isTimedOut(nowNanos)) {
        logger.atInfo().log(
            "link: no message from %s within %d ms, closing its connection",
            client.client.orElse(self.host()), Link.HEARTBEAT_TIMEOUT.toMillis());
        client.channel.close();
      }
    }
  }

  private LinkMessage toMessage(Decision decision) {
    long call = decision.demand().call();
    if (decision instanceof Decision.Placed placed) {
      return LinkMessage.placed(
          new PlacedMessage(call, placed.backend().value()).setTerm(election.termNumber()));
    }
    if (decision instanceof Decision.Refused refused) {
      return LinkMessage.refused(
          new RefusedMessage(call, refused.reason().ordinal(), refused.retryAfterMillis()));
    }
    if (decision instanceof Decision.Quarantined quarantined) {
      return LinkMessage.refused(
          new RefusedMessage(
                  call,
                  RefusalReason.QUARANTINED.ordinal(),
                  TimeUnit.NANOSECONDS.toMillis(quarantined.verdict().remainingNanos()))
              .setPromptPart(quarantined.verdict().part().value()));
    }
    return LinkMessage.revoked(new RevokedMessage(call));
  }

  /** Starts to accept links of other hosts. */
  void listen() {
    new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel created) throws Exception {
                LinkPipeline.install(created.pipeline(), new ClientHandler());
              }
            })
        .bind(self.address(), self.port())
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                logger.atSevere().withCause(done.cause()).log(
                    "link: cannot listen on %s:%d; retrying in %d ms",
                    self.address(), self.port(), BIND_RETRY_DELAY.toMillis());
                loop.schedule(this::listen, BIND_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
              }
            });
  }

  /** Serves the link of one host. */
  private final class ClientHandler extends SimpleChannelInboundHandler<LinkMessage> {
    private Optional<HostId> client = Optional.empty();
    private Channel channel;
    private boolean servesCallers;
    private CollectionRevisions.Cursor cursor = new CollectionRevisions.Cursor(ImmutableSet.of());
    private long lastReceivedNanos = nanoClock.getAsLong();

    boolean isTimedOut(long nowNanos) {
      return nowNanos - lastReceivedNanos > Link.HEARTBEAT_TIMEOUT.toNanos();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, LinkMessage message) {
      lastReceivedNanos = nanoClock.getAsLong();
      if (message.isSetPulse()) {
        receiveHeartbeat(message.getPulse());
        context.writeAndFlush(
            LinkMessage.pulse(
                heartbeats.answer(message.getPulse().getNumber(), isChosenDispatcher(), cursor)));
      } else if (message.isSetHello()) {
        HostId host = HostId.of(message.getHello().getHost());
        client = Optional.of(host);
        servesCallers = message.getHello().isServesCallers();
        cursor = new CollectionRevisions.Cursor(WatchedCollections.of(servesCallers));
        channel = context.channel();
        clients.put(host, this);
        followers.remove(host);
        dispatcher.hostRestarted(host);
        onClientsChanged.run();
      } else if (client.isPresent()) {
        serve(client.get(), message, context);
      }
    }

    private void receiveHeartbeat(PulseMessage heartbeat) {
      if (client.isEmpty()) {
        return;
      }
      long now = nanoClock.getAsLong();
      heartbeats.recordRevisions(client.get(), heartbeat, now);
      if (servesCallers) {
        // The reports of other hosts arrive over this host's own links to them.
        election.report(client.get(), Heartbeats.reportOf(heartbeat), now);
      }
      boolean changed =
          heartbeat.isTakesPlaces() ? followers.add(client.get()) : followers.remove(client.get());
      if (changed) {
        onClientsChanged.run();
      }
    }

    private void serve(HostId host, LinkMessage message, ChannelHandlerContext context) {
      long now = nanoClock.getAsLong();
      if (message.isSetDemand()) {
        submit(host, message.getDemand(), now);
      } else if (message.isSetFinished()) {
        FinishedMessage finished = message.getFinished();
        decisions.accept(
            dispatcher.finished(
                new DemandId(host, finished.getCall()),
                PlacementResult.values()[finished.getResult()],
                DemandMessages.toReport(finished),
                now));
      } else if (message.isSetServerEnd()) {
        quarantine.reported(ServerEndReports.toServerEnd(host, message.getServerEnd(), now), now);
      } else if (message.isSetBackendLeaving()) {
        onBackendLeaving.accept(host, message.getBackendLeaving());
      } else {
        messageHandler.received(host, message, context::writeAndFlush);
      }
    }

    private void submit(HostId host, DemandMessage message, long now) {
      if (!election.isHolder()) {
        // The sender submits its demands again once it knows the newest term.
        logger.atFine().log("link: a demand of %s is for a former term, dropping it", host);
        return;
      }
      Demand demand = DemandMessages.toDemand(host, message, now);
      if (message.isSetRunningOn()) {
        dispatcher.registerRunning(demand, BackendServerId.of(message.getRunningOn()), now);
      } else {
        decisions.accept(dispatcher.submit(demand, now));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (client.isPresent() && clients.remove(client.get(), this)) {
        followers.remove(client.get());
        if (servesCallers) {
          election.lose(client.get());
        }
        dispatcher.hostLost(client.get(), nanoClock.getAsLong());
        onClientsChanged.run();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      logger.atFine().withCause(cause).log("link: connection of a host failed, closing it");
      context.close();
    }
  }
}
