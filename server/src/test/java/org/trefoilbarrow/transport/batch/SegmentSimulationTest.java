package org.trefoilbarrow.transport.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.coordination.batch.BatchRules;
import org.trefoilbarrow.coordination.batch.Checkpoint;
import org.trefoilbarrow.coordination.batch.SegmentClaims;
import org.trefoilbarrow.protocol.FileManifest;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.JobManifest;
import org.trefoilbarrow.protocol.JobState;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.FaultyPlatform;
import org.trefoilbarrow.state.JobManifestTable;
import org.trefoilbarrow.state.PlatformException;

/**
 * Runs the claims, checkpoints and ends of a job on several simulated hosts, with seeded faults:
 * lost writes, restarts and suspended hosts. Guards against lost, repeated or disappearing results.
 */
public final class SegmentSimulationTest {
  private static final int ITEMS = 2300;
  private static final int SEEDS = 60;
  private static final long STEP_NANOS = 50_000_000;
  private static final OrganisationId ORGANISATION = OrganisationId.of("workshop");

  /** One incarnation of a host and the segments that it runs. */
  private static final class Host {
    final SegmentStore segments;
    final JobStore jobs;
    final List<RunningSegment> running = new ArrayList<>();
    long suspendedUntilNanos;

    Host(SegmentStore segments, JobStore jobs) {
      this.segments = segments;
      this.jobs = jobs;
    }
  }

  /** The hosts, the platform and the clock of one seed. */
  private static final class Simulation {
    final Random random;
    final FaultyPlatform platform;
    final ConfirmedWrites writes;
    final FileStore files;
    final BatchRules rules =
        new BatchRules(
            Duration.ofSeconds(3), Duration.ofMillis(300), 2000, 20_000, Duration.ofMillis(50));
    final List<Host> hosts = new ArrayList<>();
    long nanos = 1;
    long incarnation;

    Simulation(long seed) {
      random = new Random(seed);
      platform = new FaultyPlatform(seed);
      writes = new ConfirmedWrites(platform, time -> {});
      files = new FileStore(platform, writes, 10_000, () -> 1);
      for (int i = 0; i < 3; i++) {
        hosts.add(newHost(i));
      }
    }

    Host newHost(int index) {
      HostId id = HostId.of("host-" + index);
      SegmentStore segments =
          new SegmentStore(
              platform,
              writes,
              files,
              new SegmentClaims(rules.segmentLease(), id),
              rules,
              id,
              ++incarnation,
              () -> nanos);
      return new Host(segments, new JobStore(platform, writes, new JobManifestTable(), () -> 1));
    }

    JobManifest submit() {
      StringBuilder content = new StringBuilder();
      for (int i = 0; i < ITEMS; i++) {
        content.append(
            String.format(
                "{\"custom_id\":\"%d\",\"url\":\"/v1/chat/completions\","
                    + "\"body\":{\"model\":\"m\"}}%n",
                i));
      }
      byte[] bytes = content.toString().getBytes(StandardCharsets.UTF_8);
      FileManifest file =
          files.store(ORGANISATION, "items", new ByteArrayInputStream(bytes), ITEMS);
      return hosts.get(0).jobs.submit(file, 60, 2, "key");
    }

    void step(JobManifest job, boolean faults) {
      nanos += STEP_NANOS;
      int index = random.nextInt(hosts.size());
      if (faults && random.nextInt(60) == 0) {
        hosts.set(index, newHost(index));
      }
      Host host = hosts.get(index);
      if (faults && random.nextInt(40) == 0) {
        host.suspendedUntilNanos = nanos + random.nextInt(200) * STEP_NANOS;
      }
      if (nanos < host.suspendedUntilNanos) {
        return;
      }
      try {
        runHost(host, job);
      } catch (PlatformException | ServiceException e) {
        // The host retries at a later step.
        assertTrue(faults, e.toString());
      }
    }

    private void runHost(Host host, JobManifest job) {
      if (host.running.size() < 2) {
        SegmentStore.Search search =
            host.segments.claimOne(job, id -> isRunning(host, id), state -> false);
        search.claimed().ifPresent(host.running::add);
        if (search.allFinished()) {
          host.jobs.complete(ORGANISATION, job.jobId());
        }
      }
      for (RunningSegment segment : List.copyOf(host.running)) {
        runSome(segment);
        Optional<Checkpoint> checkpoint = segment.progress().planCheckpoint(nanos);
        if (checkpoint.isPresent() && !host.segments.commit(segment, checkpoint.get())) {
          segment.progress().onLost();
        }
        if (segment.progress().isFinished() || segment.progress().isLost()) {
          host.running.remove(segment);
        }
      }
    }

    private static boolean isRunning(Host host, Object id) {
      return host.running.stream().anyMatch(s -> s.progress().segment().equals(id));
    }

    private void runSome(RunningSegment segment) {
      for (int i = random.nextInt(200); i > 0; i--) {
        OptionalInt started = segment.progress().startNextItem(nanos);
        if (started.isEmpty()) {
          return;
        }
        int item = started.getAsInt();
        String line = "{\"custom_id\":\"" + segment.item(item).customId() + "\"}";
        switch (random.nextInt(10)) {
          case 0 -> segment.progress().onYielded(item);
          case 1 -> {
            if (!segment.progress().onAttemptFailed(item, nanos)) {
              segment.progress().onFailed(item, line);
            }
          }
          default -> segment.progress().onResult(item, line);
        }
      }
    }
  }

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[SEEDS][];
    for (int i = 0; i < SEEDS; i++) {
      seeds[i] = new Object[] {i + 1L};
    }
    return seeds;
  }

  @Test(dataProvider = "seeds")
  public void everyItemHasOneResultWhateverFails(long seed) throws IOException {
    Simulation simulation = new Simulation(seed);
    JobManifest job = simulation.submit();
    int maxDone = 0;
    for (int i = 0; i < 150; i++) {
      stepUnderFaults(simulation, job);
      int done = done(simulation, job);
      assertTrue(done >= maxDone, "a visible result disappeared");
      maxDone = done;
    }
    JobStore jobs = simulation.newHost(9).jobs;
    for (int i = 0; i < 20_000 && isOpen(jobs, job); i++) {
      simulation.step(job, false);
    }
    assertEquals(jobs.find(ORGANISATION, job.jobId()).orElseThrow().state(), JobState.COMPLETED);
    List<String> results = results(jobs, job);
    assertEquals(results.size(), ITEMS);
    assertEquals(new TreeSet<>(results).size(), ITEMS);
    assertEquals(jobs.progress(job).completed() + jobs.progress(job).failed(), ITEMS);
  }

  @Test(dataProvider = "seeds")
  public void jobThatIsCancelledAndCompletedAtOnceEndsOnce(long seed) throws IOException {
    Simulation simulation = new Simulation(seed);
    JobManifest job = simulation.submit();
    simulation.platform.setFailureChance(0.15);
    for (int i = 0; i < 60 + seed * 3; i++) {
      simulation.step(job, true);
    }
    List<JobState> ends = new ArrayList<>();
    for (Host host : ImmutableList.copyOf(simulation.hosts)) {
      try {
        ends.add(host.jobs.cancel(ORGANISATION, job.jobId()).state());
      } catch (ServiceException e) {
        // The outcome is unknown at this host; the results at the others must still agree.
        assertTrue(e.getMessage() != null);
      }
    }
    simulation.platform.setFailureChance(0);
    JobState end = simulation.newHost(9).jobs.cancel(ORGANISATION, job.jobId()).state();
    ends.forEach(seen -> assertEquals(seen, end));
    List<String> results = results(simulation.newHost(9).jobs, job);
    assertEquals(new TreeSet<>(results).size(), results.size());
  }

  @Test
  public void resultsDisappearWithoutVersions() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = new Simulation(seed);
      JobManifest job = simulation.submit();
      simulation.platform.ignoreVersions();
      int maxDone = 0;
      for (int i = 0; i < 300; i++) {
        stepUnderFaults(simulation, job);
        int done = done(simulation, job);
        if (done < maxDone) {
          return;
        }
        maxDone = done;
      }
    }
    throw new AssertionError("no result disappeared although the platform ignored versions");
  }

  private static void stepUnderFaults(Simulation simulation, JobManifest job) {
    simulation.platform.setFailureChance(0.15);
    simulation.step(job, true);
    simulation.platform.setFailureChance(0);
  }

  private static int done(Simulation simulation, JobManifest job) {
    JobProgress progress = simulation.hosts.get(0).jobs.progress(job);
    return progress.completed() + progress.failed();
  }

  private static boolean isOpen(JobStore jobs, JobManifest job) {
    return jobs.find(ORGANISATION, job.jobId()).orElseThrow().state() == JobState.IN_PROGRESS;
  }

  private static List<String> results(JobStore jobs, JobManifest job) throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    jobs.writeResults(job, false, output);
    jobs.writeResults(job, true, output);
    return output.toString(StandardCharsets.UTF_8).lines().toList();
  }
}
