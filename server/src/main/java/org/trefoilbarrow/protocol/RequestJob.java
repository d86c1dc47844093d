package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;

/**
 * A batch job whose items are complete HTTP requests.
 *
 * @param id the job's identifier, chosen by the caller
 * @param organisation the organisation that owns the job
 * @param hostName the host name of the route to which it was submitted
 * @param path the path to which it was submitted
 * @param submittedMillis when it was accepted, by the accepting host's clock
 * @param items the items, in order
 */
public record RequestJob(
    JobId id,
    OrganisationId organisation,
    String hostName,
    String path,
    long submittedMillis,
    List<JobItem> items) {

  /** Validates the components and copies mutable ones. */
  public RequestJob {
    checkNotNull(id, "id");
    checkNotNull(organisation, "organisation");
    checkNotNull(hostName, "hostName");
    checkNotNull(path, "path");
    items = ImmutableList.copyOf(items);
  }

  /**
   * One item of a job.
   *
   * @param id the item's identifier, unique in the job
   * @param path the path of the request
   * @param headers the headers of the request
   * @param body the body of the request, in base64
   */
  public record JobItem(String id, String path, Map<String, String> headers, String body) {
    /** Validates the components and copies mutable ones. */
    public JobItem {
      checkNotNull(id, "id");
      checkNotNull(path, "path");
      headers = ImmutableMap.copyOf(headers);
      checkNotNull(body, "body");
    }
  }

  /**
   * The result of an item.
   *
   * @param item the item's identifier
   * @param completed whether the item was completed; if not, it was given up
   * @param output the data of all events, separated by line feeds
   */
  public record Result(String item, boolean completed, String output) {}

  /**
   * A part of a job's results; the results of a part become visible together.
   *
   * @param author the process that wrote the part
   * @param results the results, in the order of their positions
   */
  public record ResultPart(String author, List<Result> results) {
    /** Validates the components and copies mutable ones. */
    public ResultPart {
      checkNotNull(author, "author");
      results = ImmutableList.copyOf(results);
    }
  }
}
