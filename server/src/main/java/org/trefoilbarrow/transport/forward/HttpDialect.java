package org.trefoilbarrow.transport.forward;

import com.google.common.collect.ImmutableList;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.PromptPartId;
import org.trefoilbarrow.protocol.RequestJob;
import org.trefoilbarrow.protocol.RequestJob.JobItem;
import org.trefoilbarrow.protocol.WorkSize;
import org.trefoilbarrow.state.fleet.BackendServer;

/**
 * The HTTP headers, paths and bodies that callers and backend servers use. Each platform has its
 * own implementation. Implementations only translate, and are thread-safe.
 */
public interface HttpDialect {

  /** Returns the attributes that the headers of a request state. */
  RequestAttributes requestAttributes(HttpRequest request);

  /** Returns the attributes that the headers of a response state. */
  ResponseAttributes responseAttributes(HttpResponse response);

  /**
   * Returns the headers with which a request is forwarded to a backend server.
   *
   * @param received the headers as received from the caller
   * @param organisation the organisation of the caller's key, if the route requires a key
   * @param remainingMillis the time until the deadline
   * @param resumeAfter the identifier of the last event received, if a stream is resumed
   */
  HttpHeaders backendRequestHeaders(
      HttpHeaders received,
      BackendServer backend,
      Optional<OrganisationId> organisation,
      long remainingMillis,
      Optional<String> resumeAfter);

  /** Returns the headers with which an item of a job is sent to a backend server. */
  HttpHeaders backendRequestHeaders(
      JobItem item,
      String hostName,
      BackendServer backend,
      OrganisationId organisation,
      long remainingMillis,
      Optional<String> resumeAfter);

  /** Returns the parts of an item's prompt that other work may share, in their order. */
  ImmutableList<PromptPartId> promptParts(JobItem item);

  /** Returns the number of tokens of each of {@link #promptParts}, in their order. */
  ImmutableList<Integer> promptPartTokens(JobItem item);

  /** Returns the size that an item states. */
  WorkSize size(JobItem item);

  /** Returns whether an item states which of the backend servers may run it. */
  boolean isConditional(JobItem item);

  /** Sets the header that states after which time a refused caller may retry. */
  void setRetryAfter(HttpHeaders headers, long millis);

  /**
   * Returns whether the request is a readiness check, whose response states whether the host
   * accepts new connections.
   */
  boolean isReadinessCheck(HttpRequest request);

  /** Parses a request that concerns a job submitted before; empty for other requests. */
  Optional<JobCall> parseJobCall(HttpRequest request);

  /**
   * Parses the items of a submitted job.
   *
   * @throws org.trefoilbarrow.protocol.ServiceException if the body holds no valid job
   */
  List<JobItem> parseJobItems(byte[] body);

  /** Encodes the response body of a read of results. */
  byte[] encodeResults(int total, int nextPosition, List<RequestJob.Result> results);
}
