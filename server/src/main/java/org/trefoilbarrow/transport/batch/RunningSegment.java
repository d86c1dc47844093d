package org.trefoilbarrow.transport.batch;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.trefoilbarrow.coordination.batch.SegmentProgress;
import org.trefoilbarrow.protocol.JobManifest;
import org.trefoilbarrow.transport.backend.BatchCalls;

/** A segment claimed by this host, with its input and its requests in progress. Thread-safe. */
final class RunningSegment {
  private final JobManifest job;
  private final SegmentProgress progress;
  private final List<String> lines;
  private final Set<BatchCalls.Handle> requests = ConcurrentHashMap.newKeySet();
  private volatile boolean stopping;

  RunningSegment(JobManifest job, SegmentProgress progress, List<String> lines) {
    this.job = job;
    this.progress = progress;
    this.lines = lines;
  }

  JobManifest job() {
    return job;
  }

  SegmentProgress progress() {
    return progress;
  }

  ItemLine item(int index) {
    return ItemLine.parse(lines.get(index), index + 1L);
  }

  boolean isStopping() {
    return stopping;
  }

  void addRequest(BatchCalls.Handle request) {
    requests.add(request);
    if (stopping) {
      request.cancel();
    }
  }

  void removeRequest(BatchCalls.Handle request) {
    requests.remove(request);
  }

  /** Marks the segment as stopping, so that no more items start, and cancels its requests. */
  void stop() {
    stopping = true;
    requests.forEach(BatchCalls.Handle::cancel);
  }
}
