package org.trefoilbarrow.state;

/** The collections of objects that trefoilbarrow reads and writes in the platform. */
public enum ObjectKind {
  CONFIGURATION("configuration"),
  HOST("hosts"),
  SHARE("shares"),
  FILE("files"),
  FILE_PART("file-parts"),
  JOB("jobs"),
  SEGMENT("segments"),
  RESULT("results"),
  CALL("calls"),
  BACKEND_SERVER("backend-servers"),
  DRAINED_DOMAIN("drained-domains"),
  HOST_REMOVAL("host-removals"),
  JOB_END("job-ends"),
  JOB_PIECE("job-pieces");

  private final String collection;

  ObjectKind(String collection) {
    this.collection = collection;
  }

  /** Returns the name of the collection in paths. */
  public String collection() {
    return collection;
  }
}
