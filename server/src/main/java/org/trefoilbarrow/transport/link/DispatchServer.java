package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
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
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.dispatch.Decision;
import org.trefoilbarrow.coordination.dispatch.Demand;
import org.trefoilbarrow.coordination.dispatch.DemandId;
import org.trefoilbarrow.coordination.dispatch.Dispatcher;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.transport.link.generated.DemandMessage;
import org.trefoilbarrow.transport.link.generated.FinishedMessage;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.link.generated.PlacedMessage;
import org.trefoilbarrow.transport.link.generated.PulseMessage;
import org.trefoilbarrow.transport.link.generated.RefusedMessage;
import org.trefoilbarrow.transport.link.generated.RevokedMessage;

/**
 * Accepts the links of other hosts and takes their demands to the dispatcher. A host that falls
 * silent is taken for lost, so that its places do not stay taken. Used by the thread of the event
 * loop alone.
 */
final class DispatchServer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration BIND_AGAIN = Duration.ofMillis(300);
  private static final long NANOS_IN_MILLI = 1_000_000;

  private final EventLoop loop;
  private final PeerAddress self;
  private final Dispatcher dispatcher;
  private final BooleanSupplier fit;
  private final LongSupplier nanoClock;
  private final Consumer<ImmutableList<Decision>> decisions;
  private final Runnable onClients;
  private final Map<HostId, ClientHandler> clients = new HashMap<>();
  private final Set<HostId> choosing = new HashSet<>();
  private PlacementClient.MessageHandler messageHandler = PlacementClient.MessageHandler.NONE;

  /**
   * Creates a server that does not listen yet.
   *
   * @param decisions carries out what the dispatcher decides
   * @param onClients runs whenever a host has come or is lost
   */
  DispatchServer(
      EventLoop loop,
      PeerAddress self,
      Dispatcher dispatcher,
      BooleanSupplier fit,
      LongSupplier nanoClock,
      Consumer<ImmutableList<Decision>> decisions,
      Runnable onClients) {
    this.loop = checkNotNull(loop, "loop");
    this.self = checkNotNull(self, "self");
    this.dispatcher = checkNotNull(dispatcher, "dispatcher");
    this.fit = checkNotNull(fit, "fit");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.decisions = checkNotNull(decisions, "decisions");
    this.onClients = checkNotNull(onClients, "onClients");
  }

  /** Sets who takes the messages that do not concern places. */
  void setMessageHandler(PlacementClient.MessageHandler messages) {
    this.messageHandler = checkNotNull(messages, "messages");
  }

  /** Returns the number of hosts that are linked. */
  int clientCount() {
    return clients.size();
  }

  /** Returns how many of the given hosts are linked. */
  long countOf(Set<HostId> hosts) {
    return clients.keySet().stream().filter(hosts::contains).count();
  }

  /** Returns whether a host that serves callers takes its places here. */
  boolean isChosen() {
    return !choosing.isEmpty();
  }

  /** Tells a decision to the host that it concerns, if that is linked. */
  void send(Decision decision) {
    ClientHandler client = clients.get(decision.demand().host());
    if (client != null) {
      client.channel.writeAndFlush(toMessage(decision), client.channel.voidPromise());
    }
  }

  /** Closes the links on which nothing was heard for too long. */
  void closeSilent(long nowNanos) {
    for (ClientHandler client : ImmutableList.copyOf(clients.values())) {
      if (client.isSilent(nowNanos)) {
        logger.atInfo().log("link: %s is silent", client.client.orElse(self.host()));
        client.channel.close();
      }
    }
  }

  private void noteChoice(HostId callerHost, boolean takesPlaces) {
    if (takesPlaces) {
      choosing.add(callerHost);
    } else {
      choosing.remove(callerHost);
    }
  }

  private static LinkMessage toMessage(Decision decision) {
    long call = decision.demand().call();
    if (decision instanceof Decision.Placed placed) {
      return LinkMessage.placed(new PlacedMessage(call, placed.backend().value()));
    }
    if (decision instanceof Decision.Refused refused) {
      return LinkMessage.refused(
          new RefusedMessage(call, refused.reason().ordinal(), refused.retryAfterMillis()));
    }
    return LinkMessage.revoked(new RevokedMessage(call));
  }

  /** Begins to accept links of other hosts. */
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
                logger.atSevere().withCause(done.cause()).log("link: cannot listen");
                loop.schedule(this::listen, BIND_AGAIN.toMillis(), TimeUnit.MILLISECONDS);
              }
            });
  }

  /** Serves one host that asks for places. */
  private final class ClientHandler extends SimpleChannelInboundHandler<LinkMessage> {
    private Optional<HostId> client = Optional.empty();
    private Channel channel;
    private boolean servesCallers;
    private long heardNanos = nanoClock.getAsLong();

    boolean isSilent(long nowNanos) {
      return nowNanos - heardNanos > Link.SILENCE.toNanos();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, LinkMessage message) {
      heardNanos = nanoClock.getAsLong();
      if (message.isSetPulse()) {
        if (client.isPresent() && servesCallers) {
          noteChoice(client.get(), message.getPulse().isTakesPlaces());
        }
        PulseMessage answer =
            new PulseMessage(message.getPulse().getNumber(), true, fit.getAsBoolean());
        answer.setTakesPlaces(isChosen());
        context.writeAndFlush(LinkMessage.pulse(answer));
      } else if (message.isSetHello()) {
        HostId host = HostId.of(message.getHello().getHost());
        client = Optional.of(host);
        servesCallers = message.getHello().isServesCallers();
        channel = context.channel();
        clients.put(host, this);
        dispatcher.hostRestarted(host);
        onClients.run();
      } else if (client.isPresent()) {
        serve(client.get(), message, context);
      }
    }

    private void serve(HostId host, LinkMessage message, ChannelHandlerContext context) {
      long now = nanoClock.getAsLong();
      if (message.isSetDemand()) {
        demanded(host, message.getDemand(), now);
      } else if (message.isSetFinished()) {
        FinishedMessage finished = message.getFinished();
        decisions.accept(
            dispatcher.finished(
                new DemandId(host, finished.getCall()),
                PlacementResult.values()[finished.getResult()],
                now));
      } else {
        messageHandler.received(host, message, context::writeAndFlush);
      }
    }

    private void demanded(HostId host, DemandMessage message, long now) {
      DemandId id = new DemandId(host, message.getCall());
      Set<BackendServerId> excluded = new HashSet<>();
      if (message.isSetExcluded()) {
        message.getExcluded().forEach(backend -> excluded.add(BackendServerId.of(backend)));
      }
      Demand demand =
          new Demand(
              id,
              message.getTarget(),
              message.isSetOrganisation()
                  ? Optional.of(OrganisationId.of(message.getOrganisation()))
                  : Optional.empty(),
              message.getPriority(),
              message.isBatch(),
              now + message.getObjectiveMillis() * NANOS_IN_MILLI,
              now + message.getRemainingMillis() * NANOS_IN_MILLI,
              message.isRepeated(),
              excluded);
      if (message.isSetRunningOn()) {
        dispatcher.registerRunning(demand, BackendServerId.of(message.getRunningOn()), now);
      } else {
        decisions.accept(dispatcher.submit(demand, now));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (client.isPresent() && clients.remove(client.get(), this)) {
        choosing.remove(client.get());
        dispatcher.hostLost(client.get(), nanoClock.getAsLong());
        onClients.run();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      logger.atFine().withCause(cause).log("link: a client failed");
      context.close();
    }
  }
}
