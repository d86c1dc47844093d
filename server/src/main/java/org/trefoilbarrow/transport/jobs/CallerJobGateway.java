package org.trefoilbarrow.transport.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.trefoilbarrow.coordination.membership.Rendezvous;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RequestJob;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.WriteOutcome;
import org.trefoilbarrow.transport.forward.JobGateway;
import org.trefoilbarrow.transport.link.PeerAddress;
import org.trefoilbarrow.transport.link.PlacementClient;
import org.trefoilbarrow.transport.link.generated.JobReadMessage;
import org.trefoilbarrow.transport.link.generated.LinkMessage;

/**
 * What a host with callers does for jobs: accepts and ends them at the platform, and reads them
 * from the hosts that run them, or from the platform while none of these answers. Used by the
 * thread of the event loop alone; calls to the platform run on the executor.
 */
public final class CallerJobGateway implements JobGateway, PlacementClient.MessageHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How often a write is tried before its outcome is given up as unknown. */
  private static final int WRITE_ATTEMPTS = 3;

  /** How long an answer may take beyond the wait that was asked for. */
  private static final Duration ANSWER_TIME = Duration.ofMillis(400);

  private static final int MAX_PEERS_ASKED = 2;

  private final EventLoop loop;
  private final PlacementClient placements;
  private final RequestJobStore objects;
  private final RequestJobTable fallback;
  private final Executor executor;
  private final Map<Long, Pending> reads = new HashMap<>();
  private long nextRead;

  /** A read that was sent to a host. */
  private static final class Pending {
    final JobReadMessage message;
    final Deque<HostId> untried;
    final Consumer<JobAnswer> done;
    final Runnable atLast;

    Pending(
        JobReadMessage message, Deque<HostId> untried, Consumer<JobAnswer> done, Runnable atLast) {
      this.message = message;
      this.untried = untried;
      this.done = done;
      this.atLast = atLast;
    }
  }

  /**
   * Creates the front.
   *
   * @param fallback reads jobs from the platform
   */
  public CallerJobGateway(
      EventLoop loop,
      PlacementClient placements,
      RequestJobStore objects,
      RequestJobTable fallback,
      Executor executor) {
    this.loop = checkNotNull(loop, "loop");
    this.placements = checkNotNull(placements, "placements");
    this.objects = checkNotNull(objects, "objects");
    this.fallback = checkNotNull(fallback, "fallback");
    this.executor = checkNotNull(executor, "executor");
  }

  @Override
  public void submit(RequestJob job, Consumer<Outcome> done) {
    write(
        () -> {
          WriteOutcome outcome = objects.create(job, WRITE_ATTEMPTS);
          if (outcome.result() == WriteOutcome.Result.CONFLICT
              || outcome.result() == WriteOutcome.Result.UNKNOWN) {
            Optional<RequestJob> kept = objects.read(job.id());
            if (kept.isPresent()) {
              return kept.get().organisation().equals(job.organisation())
                  ? Outcome.DONE
                  : Outcome.NO_SUCH_JOB;
            }
          }
          return toOutcome(outcome);
        },
        done);
  }

  @Override
  public void cancel(JobId job, OrganisationId organisation, Consumer<Outcome> done) {
    write(
        () -> {
          Optional<RequestJob> kept = objects.read(job);
          if (kept.isEmpty() || !kept.get().organisation().equals(organisation)) {
            return Outcome.NO_SUCH_JOB;
          }
          WriteOutcome outcome = objects.createCancellation(job, WRITE_ATTEMPTS);
          // An end that exists already is as good as a new one.
          return outcome.result() == WriteOutcome.Result.CONFLICT
              ? Outcome.DONE
              : toOutcome(outcome);
        },
        done);
  }

  /** A write that waits for the platform. */
  @FunctionalInterface
  private interface Write {
    Outcome run();
  }

  private void write(Write write, Consumer<Outcome> done) {
    executor.execute(
        () -> {
          Outcome outcome;
          try {
            outcome = write.run();
          } catch (PlatformException e) {
            logger.atFine().log("jobs: the platform does not answer: %s", e.getMessage());
            outcome = Outcome.UNKNOWN;
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("jobs: a write failed");
            outcome = Outcome.UNKNOWN;
          }
          Outcome found = outcome;
          loop.execute(() -> done.accept(found));
        });
  }

  private static Outcome toOutcome(WriteOutcome outcome) {
    return switch (outcome.result()) {
      case APPLIED -> Outcome.DONE;
      case NOT_SENT -> Outcome.REFUSED;
      case CONFLICT, UNKNOWN -> Outcome.UNKNOWN;
    };
  }

  @Override
  public void read(
      JobId job,
      OrganisationId organisation,
      int position,
      long waitMillis,
      Consumer<JobAnswer> done) {
    JobReadMessage message =
        new JobReadMessage(0, job.value(), organisation.value(), position, waitMillis);
    ask(job, message, done, () -> fallback.read(job, organisation, position, 0, done));
  }

  @Override
  public void readItem(
      JobId job, OrganisationId organisation, String item, Consumer<JobAnswer> done) {
    JobReadMessage message = new JobReadMessage(0, job.value(), organisation.value(), 0, 0);
    message.setItem(item);
    ask(job, message, done, () -> fallback.readItem(job, organisation, item, done));
  }

  private void ask(JobId job, JobReadMessage message, Consumer<JobAnswer> done, Runnable atLast) {
    Set<HostId> order = new LinkedHashSet<>();
    ImmutableList<HostId> fit = hosts(placements.livePeers(true));
    Rendezvous.owner(job.value(), fit).ifPresent(order::add);
    order.addAll(fit);
    order.addAll(hosts(placements.livePeers(false)));
    Deque<HostId> untried =
        order.stream()
            .limit(MAX_PEERS_ASKED)
            .collect(ArrayDeque::new, ArrayDeque::add, ArrayDeque::addAll);
    askNext(new Pending(message, untried, done, atLast));
  }

  private static ImmutableList<HostId> hosts(ImmutableList<PeerAddress> peers) {
    return peers.stream().map(PeerAddress::host).collect(ImmutableList.toImmutableList());
  }

  private void askNext(Pending pending) {
    HostId host = pending.untried.poll();
    if (host == null) {
      pending.atLast.run();
      return;
    }
    long number = nextRead++;
    pending.message.setRead(number);
    reads.put(number, pending);
    placements.send(host, LinkMessage.jobRead(pending.message.deepCopy()));
    long patience = pending.message.getWaitMillis() + ANSWER_TIME.toMillis();
    loop.schedule(() -> giveUp(number), patience, TimeUnit.MILLISECONDS);
  }

  private void giveUp(long number) {
    Pending pending = reads.remove(number);
    if (pending != null) {
      pending.message.setWaitMillis(0);
      askNext(pending);
    }
  }

  @Override
  public void received(HostId from, LinkMessage message, Reply reply) {
    if (!message.isSetJobAnswer()) {
      return;
    }
    Pending pending = reads.remove(message.getJobAnswer().getRead());
    if (pending == null) {
      return;
    }
    JobAnswer answer = JobMessages.toAnswer(message.getJobAnswer());
    if (answer.certainty() == Certainty.UNSURE) {
      pending.message.setWaitMillis(0);
      askNext(pending);
    } else {
      pending.done.accept(answer);
    }
  }
}
