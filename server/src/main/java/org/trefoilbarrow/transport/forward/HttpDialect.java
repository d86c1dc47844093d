package org.trefoilbarrow.transport.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RequestJob;
import org.trefoilbarrow.protocol.RequestJob.JobItem;
import org.trefoilbarrow.state.fleet.BackendServer;

/**
 * How callers and backend servers state over HTTP what the product must know. Another platform is
 * another implementation. Implementations decide nothing and are thread-safe.
 */
public interface HttpDialect {

  /** Returns what a request says of itself. */
  RequestAttributes requestAttributes(HttpRequest request);

  /** Returns what the head of an answer says. */
  ResponseAttributes responseAttributes(HttpResponse response);

  /**
   * Returns the head fields with which a request is sent on.
   *
   * @param received the fields as the caller sent them
   * @param organisation whose request it is, if a key was asked for
   * @param remainingMillis the time that is left
   * @param resumeAfter the last event of the stream that is already there, if any
   */
  HttpHeaders backendRequestHeaders(
      HttpHeaders received,
      BackendServer backend,
      Optional<OrganisationId> organisation,
      long remainingMillis,
      Optional<String> resumeAfter);

  /** Returns the head fields with which an item of a job is sent. */
  HttpHeaders backendRequestHeaders(
      JobItem item,
      String hostName,
      BackendServer backend,
      OrganisationId organisation,
      long remainingMillis,
      Optional<String> resumeAfter);

  /** Sets the time after which a refused caller may come back. */
  void setRetryAfter(HttpHeaders headers, long millis);

  /** Returns whether the request asks if this host may get new connections. */
  boolean isReadinessCheck(HttpRequest request);

  /** Returns the call that a request makes about a job, or empty if it makes none. */
  Optional<JobCall> parseJobCall(HttpRequest request);

  /**
   * Returns the items of a submitted job.
   *
   * @throws org.trefoilbarrow.protocol.ServiceException if the body states no job
   */
  List<JobItem> parseJobItems(byte[] body);

  /** Returns the body of an answer with results. */
  byte[] encodeResults(int total, int nextPosition, List<RequestJob.Result> results);
}
