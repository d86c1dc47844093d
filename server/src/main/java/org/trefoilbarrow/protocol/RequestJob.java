package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;

/**
 * A batch job whose items are whole requests.
 *
 * @param id the job's identifier, chosen by the caller
 * @param organisation whose job it is
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

  /** Checks the components, and copies those that could change. */
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
   * @param headers the head fields of the request
   * @param body the body of the request, in base64
   */
  public record JobItem(String id, String path, Map<String, String> headers, String body) {
    /** Checks the components, and copies those that could change. */
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
   * @param completed whether the item was done; otherwise it was given up
   * @param output the data of all events, separated by line feeds
   */
  public record Result(String item, boolean completed, String output) {}

  /**
   * Results that became visible together.
   *
   * @param author the process that wrote the part
   * @param results the results, in the order of their positions
   */
  public record ResultPart(String author, List<Result> results) {
    /** Checks the components, and copies those that could change. */
    public ResultPart {
      checkNotNull(author, "author");
      results = ImmutableList.copyOf(results);
    }
  }
}
