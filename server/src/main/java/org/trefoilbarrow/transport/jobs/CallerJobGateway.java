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
 * The job gateway of a host that serves callers: stores and cancels request jobs at the platform,
 * and reads them from the hosts that run jobs, or from the platform if none of these answers. Used
 * only on the event loop's thread; calls to the platform run on the executor.
 */
public final class CallerJobGateway implements JobGateway, PlacementClient.MessageHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The most attempts of a write before its outcome is reported as unknown. */
  private static final int WRITE_ATTEMPTS = 3;

  /** How long an answer may take beyond the requested wait. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(400);

  private static final int MAX_PEERS_TRIED = 2;

  private final EventLoop loop;
  private final PlacementClient placements;
  private final RequestJobStore store;
  private final RequestJobTable platformTable;
  private final Executor executor;
  private final Map<Long, PendingRead> pendingReads = new HashMap<>();
  private long nextRead;

  /** A read that was sent to a peer, and the peers to try next. */
  private static final class PendingRead {
    final JobReadMessage message;
    final Deque<HostId> untried;
    final Consumer<JobAnswer> done;
    final Runnable onNoAnswer;

    PendingRead(
        JobReadMessage message,
        Deque<HostId> untried,
        Consumer<JobAnswer> done,
        Runnable onNoAnswer) {
      this.message = message;
      this.untried = untried;
      this.done = done;
      this.onNoAnswer = onNoAnswer;
    }
  }

  /**
   * Creates a gateway.
   *
   * @param platformTable reads jobs from the platform
   */
  public CallerJobGateway(
      EventLoop loop,
      PlacementClient placements,
      RequestJobStore store,
      RequestJobTable platformTable,
      Executor executor) {
    this.loop = checkNotNull(loop, "loop");
    this.placements = checkNotNull(placements, "placements");
    this.store = checkNotNull(store, "store");
    this.platformTable = checkNotNull(platformTable, "platformTable");
    this.executor = checkNotNull(executor, "executor");
  }

  @Override
  public void submit(RequestJob job, Consumer<Outcome> done) {
    write(
        () -> {
          WriteOutcome outcome = store.create(job, WRITE_ATTEMPTS);
          if (outcome.result() == WriteOutcome.Result.CONFLICT
              || outcome.result() == WriteOutcome.Result.UNKNOWN) {
            Optional<RequestJob> stored = store.read(job.id());
            if (stored.isPresent()) {
              return stored.get().organisation().equals(job.organisation())
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
          Optional<RequestJob> stored = store.read(job);
          if (stored.isEmpty() || !stored.get().organisation().equals(organisation)) {
            return Outcome.NO_SUCH_JOB;
          }
          WriteOutcome outcome = store.createCancellation(job, WRITE_ATTEMPTS);
          // A conflict means that the job was cancelled before; cancelling is idempotent.
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
            logger.atFine().log(
                "jobs: platform did not confirm a write; reporting its outcome as unknown: %s",
                e.getMessage());
            outcome = Outcome.UNKNOWN;
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log(
                "jobs: write failed; reporting its outcome as unknown");
            outcome = Outcome.UNKNOWN;
          }
          Outcome found = outcome;
          loop.execute(() -> done.accept(found));
        });
  }

  private static Outcome toOutcome(WriteOutcome outcome) {
    return switch (outcome.result()) {
      case APPLIED -> Outcome.DONE;
      case NOT_SENT, TOO_LARGE -> Outcome.REFUSED;
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
    sendRead(job, message, done, () -> platformTable.read(job, organisation, position, 0, done));
  }

  @Override
  public void readItem(
      JobId job, OrganisationId organisation, String item, Consumer<JobAnswer> done) {
    JobReadMessage message = new JobReadMessage(0, job.value(), organisation.value(), 0, 0);
    message.setItem(item);
    sendRead(job, message, done, () -> platformTable.readItem(job, organisation, item, done));
  }

  private void sendRead(
      JobId job, JobReadMessage message, Consumer<JobAnswer> done, Runnable onNoAnswer) {
    Set<HostId> order = new LinkedHashSet<>();
    ImmutableList<HostId> connected = hosts(placements.livePeers(true));
    Rendezvous.owner(job.value(), connected).ifPresent(order::add);
    order.addAll(connected);
    order.addAll(hosts(placements.livePeers(false)));
    Deque<HostId> untried =
        order.stream()
            .limit(MAX_PEERS_TRIED)
            .collect(ArrayDeque::new, ArrayDeque::add, ArrayDeque::addAll);
    sendToNextPeer(new PendingRead(message, untried, done, onNoAnswer));
  }

  private static ImmutableList<HostId> hosts(ImmutableList<PeerAddress> peers) {
    return peers.stream().map(PeerAddress::host).collect(ImmutableList.toImmutableList());
  }

  private void sendToNextPeer(PendingRead pending) {
    HostId host = pending.untried.poll();
    if (host == null) {
      pending.onNoAnswer.run();
      return;
    }
    long number = nextRead++;
    pending.message.setRead(number);
    pendingReads.put(number, pending);
    placements.send(host, LinkMessage.jobRead(pending.message.deepCopy()));
    long timeoutMillis = pending.message.getWaitMillis() + ANSWER_TIMEOUT.toMillis();
    loop.schedule(() -> onReadTimeout(number), timeoutMillis, TimeUnit.MILLISECONDS);
  }

  private void onReadTimeout(long number) {
    PendingRead pending = pendingReads.remove(number);
    if (pending != null) {
      pending.message.setWaitMillis(0);
      sendToNextPeer(pending);
    }
  }

  @Override
  public void received(HostId from, LinkMessage message, Reply reply) {
    if (!message.isSetJobAnswer()) {
      return;
    }
    PendingRead pending = pendingReads.remove(message.getJobAnswer().getRead());
    if (pending == null) {
      return;
    }
    JobAnswer answer = JobMessages.toAnswer(message.getJobAnswer());
    if (answer.certainty() == Certainty.UNSURE) {
      pending.message.setWaitMillis(0);
      sendToNextPeer(pending);
    } else {
      pending.done.accept(answer);
    }
  }
}
