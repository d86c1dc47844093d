package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.node.ObjectNode;
import jakarta.inject.Inject;
import jakarta.inject.Named;
import jakarta.inject.Singleton;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.DefaultValue;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import java.io.InputStream;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.coordination.batch.DueForecast;
import org.trefoilbarrow.operators.BatchRuleSpec;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.FileManifest;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.JobManifest;
import org.trefoilbarrow.protocol.JobState;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.settings.LimitsSettings;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.transport.batch.FileStore;
import org.trefoilbarrow.transport.batch.JobProgress;
import org.trefoilbarrow.transport.batch.JobStore;

/** {@code /v1/batches} in the format of the OpenAI API. */
@Path("/v1/batches")
@Produces(MediaType.APPLICATION_JSON)
@Singleton
public final class BatchesResource {
  private static final String ENDPOINT = "/v1/chat/completions";
  private static final Pattern WINDOW_PATTERN = Pattern.compile("([0-9]{1,4})([smhd])");
  private static final int DEFAULT_MAX_ATTEMPTS = 3;
  private static final int MAX_PAGE_SIZE = 100;

  private final CallerAdmission admission;
  private final FileStore files;
  private final JobStore jobs;
  private final ConfigurationTable configuration;
  private final LimitsSettings limits;
  private final LongSupplier secondsClock;

  /**
   * Creates the resource.
   *
   * @param secondsClock the time of day, in seconds since the epoch
   */
  @Inject
  public BatchesResource(
      CallerAdmission admission,
      FileStore files,
      JobStore jobs,
      ConfigurationTable configuration,
      LimitsSettings limits,
      @Named("seconds") LongSupplier secondsClock) {
    this.admission = checkNotNull(admission, "admission");
    this.files = checkNotNull(files, "files");
    this.jobs = checkNotNull(jobs, "jobs");
    this.configuration = checkNotNull(configuration, "configuration");
    this.limits = checkNotNull(limits, "limits");
    this.secondsClock = checkNotNull(secondsClock, "secondsClock");
  }

  /** The numbers of all, completed and failed items of a job. */
  public record RequestCounts(int total, int completed, int failed) {}

  /** A batch job. */
  public record BatchResponse(
      String id,
      String object,
      String endpoint,
      @JsonProperty("input_file_id") String inputFileId,
      @JsonProperty("completion_window") String completionWindow,
      String status,
      @JsonProperty("output_file_id") @Nullable String outputFileId,
      @JsonProperty("error_file_id") @Nullable String errorFileId,
      @JsonProperty("created_at") long createdAt,
      @JsonProperty("in_progress_at") long inProgressAt,
      @JsonProperty("expires_at") long expiresAt,
      @JsonProperty("expected_completed_at") @Nullable Long expectedCompletedAt,
      boolean late,
      @JsonProperty("completed_at") @Nullable Long completedAt,
      @JsonProperty("cancelled_at") @Nullable Long cancelledAt,
      @JsonProperty("request_counts") RequestCounts requestCounts) {
    static BatchResponse of(JobManifest job, JobProgress progress, long nowSeconds) {
      boolean completed = job.state() == JobState.COMPLETED;
      boolean running = job.state() == JobState.IN_PROGRESS;
      int done = progress.completed() + progress.failed();
      DueForecast forecast = DueForecast.of(job, done, nowSeconds);
      OptionalLong expectedEnd = forecast.expectedEndSeconds();
      boolean cancelled = job.state() == JobState.CANCELLED;
      return new BatchResponse(
          job.jobId().value(),
          "batch",
          ENDPOINT,
          job.inputFile().value(),
          (job.dueAtSeconds() - job.createdAtSeconds()) + "s",
          job.state().name().toLowerCase(Locale.ROOT),
          ResultFileIds.output(job.jobId()),
          progress.failed() > 0 ? ResultFileIds.errors(job.jobId()) : null,
          job.createdAtSeconds(),
          job.createdAtSeconds(),
          job.dueAtSeconds(),
          running && expectedEnd.isPresent() ? expectedEnd.getAsLong() : null,
          running && forecast.isLate(),
          completed ? job.endedAtSeconds() : null,
          cancelled ? job.endedAtSeconds() : null,
          new RequestCounts(progress.total(), progress.completed(), progress.failed()));
    }
  }

  /** A page of batch jobs. */
  public record BatchList(
      String object, List<BatchResponse> data, @JsonProperty("has_more") boolean hasMore) {}

  /** Submits a job for an uploaded file. */
  @POST
  @Consumes(MediaType.WILDCARD)
  public BatchResponse create(
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
      @HeaderParam("Idempotency-Key") String idempotencyKey,
      InputStream body)
      throws InterruptedException {
    Caller caller = admission.authenticate(authorization);
    admission.acquireToken(caller);
    ObjectNode request = RequestBodies.parseObject(RequestBodies.read(body, limits.maxBodyBytes()));
    String endpoint = request.path("endpoint").asText(ENDPOINT);
    if (!endpoint.equals(ENDPOINT)) {
      throw new ServiceException(
          ErrorKind.INVALID_REQUEST,
          "endpoint \"%s\" is not supported; the only endpoint is %s",
          endpoint,
          ENDPOINT);
    }
    FileManifest file = files.get(caller.organisation(), request.path("input_file_id").asText(""));
    long windowSeconds = parseWindow(request.path("completion_window").asText("24h"));
    int maxAttempts =
        FilesResource.batchRule(configuration, caller)
            .map(BatchRuleSpec::maxAttemptsPerItem)
            .orElse(DEFAULT_MAX_ATTEMPTS);
    JobManifest job = jobs.submit(file, windowSeconds, maxAttempts, idempotencyKey);
    return response(job, new JobProgress(job.itemCount(), 0, 0));
  }

  /** Lists the jobs of the caller's organisation, newest first. */
  @GET
  public BatchList list(
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
      @QueryParam("after") @DefaultValue("") String after,
      @QueryParam("limit") @DefaultValue("20") int limit) {
    Caller caller = admission.authenticate(authorization);
    List<JobManifest> all = jobs.list(caller.organisation());
    int from = 0;
    for (int i = 0; i < all.size(); i++) {
      if (all.get(i).jobId().value().equals(after)) {
        from = i + 1;
      }
    }
    int to = Math.min(all.size(), from + Math.max(1, Math.min(limit, MAX_PAGE_SIZE)));
    List<BatchResponse> page =
        all.subList(from, to).stream().map(job -> response(job, jobs.progress(job))).toList();
    return new BatchList("list", page, to < all.size());
  }

  /** Returns a job. */
  @GET
  @Path("/{id}")
  public BatchResponse get(
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, @PathParam("id") String id) {
    Caller caller = admission.authenticate(authorization);
    JobManifest job = jobs.get(caller.organisation(), JobId.of(id));
    return response(job, jobs.progress(job));
  }

  /** Cancels a job. */
  @POST
  @Path("/{id}/cancel")
  @Consumes(MediaType.WILDCARD)
  public BatchResponse cancel(
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, @PathParam("id") String id) {
    Caller caller = admission.authenticate(authorization);
    JobManifest job = jobs.cancel(caller.organisation(), JobId.of(id));
    return response(job, jobs.progress(job));
  }

  private BatchResponse response(JobManifest job, JobProgress progress) {
    return BatchResponse.of(job, progress, secondsClock.getAsLong());
  }

  /** Returns the length of a completion window such as {@code 24h}, in seconds. */
  private static long parseWindow(String text) {
    Matcher matcher = WINDOW_PATTERN.matcher(text);
    if (!matcher.matches()) {
      throw new ServiceException(
          ErrorKind.INVALID_REQUEST,
          "completion_window \"%s\" is not a number followed by s, m, h or d",
          text);
    }
    long amount = Long.parseLong(matcher.group(1));
    Duration window =
        switch (matcher.group(2)) {
          case "s" -> Duration.ofSeconds(amount);
          case "m" -> Duration.ofMinutes(amount);
          case "h" -> Duration.ofHours(amount);
          default -> Duration.ofDays(amount);
        };
    return window.toSeconds();
  }
}
