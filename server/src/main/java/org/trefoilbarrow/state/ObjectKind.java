package org.trefoilbarrow.state;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.Arrays;
import java.util.Optional;

/** The collections of objects that trefoilbarrow reads and writes in the platform. */
public enum ObjectKind {
  /** The operators' configuration. */
  CONFIGURATION("configuration"),
  /** The hosts that run. */
  HOST("hosts"),
  /** The shares of all limits, with their holders. */
  SHARE("shares"),
  /** The manifests of input files. */
  FILE("files"),
  /** The parts of input files. */
  FILE_PART("file-parts"),
  /** The batch jobs. */
  JOB("jobs"),
  /** The progress of the segments of batch jobs. */
  SEGMENT("segments"),
  /** The parts of the results of batch jobs. */
  RESULT("results"),
  /** The non-idempotent calls with an idempotency key. */
  CALL("calls"),
  /** The backend servers. */
  BACKEND_SERVER("backend-servers"),
  /** The failure domains whose backend servers get no new requests. */
  DRAINED_DOMAIN("drained-domains"),
  /** The operators' requests to remove hosts. */
  HOST_REMOVAL("host-removals"),
  /** The cancellations of batch jobs by their callers. */
  JOB_END("job-ends"),
  /** The parts of batch jobs that are too large for one object. */
  JOB_PIECE("job-pieces"),
  /** The newest term of the dispatching host. */
  DISPATCH_TERM("dispatch-terms"),
  /** The prompt parts that are kept from all backend servers. */
  QUARANTINED_PART("quarantined-parts");

  private static final ImmutableMap<String, ObjectKind> BY_COLLECTION =
      Maps.uniqueIndex(Arrays.asList(values()), ObjectKind::collection);

  private final String collection;

  ObjectKind(String collection) {
    this.collection = collection;
  }

  /** Returns the kind with a collection of a name; empty if this host does not know it. */
  public static Optional<ObjectKind> ofCollection(String name) {
    return Optional.ofNullable(BY_COLLECTION.get(name));
  }

  /** Returns the name of the collection in paths. */
  public String collection() {
    return collection;
  }
}
