package org.trefoilbarrow.state;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Reads whole collections page by page. */
public final class CollectionReader {
  private static final int PAGE_SIZE = 1000;

  private CollectionReader() {}

  /**
   * Returns all objects of a kind whose names begin with a prefix.
   *
   * @return the objects, and the revision of the first page
   * @throws PlatformException if a call fails, or a page leaves open how to continue
   */
  public static ObjectPage readAll(Platform platform, ObjectKind kind, String prefix) {
    ImmutableList.Builder<VersionedObject> objects = ImmutableList.builder();
    ObjectPage page = platform.list(kind, prefix, "", PAGE_SIZE);
    long revision = page.revision();
    objects.addAll(page.objects());
    while (!page.complete()) {
      List<VersionedObject> previous = page.objects();
      if (previous.isEmpty()) {
        throw new PlatformException(
            String.format(
                "the page of %s at revision %s is empty, though more objects are said to follow",
                kind.collection(), page.revision()),
            null,
            true);
      }
      page = platform.list(kind, prefix, previous.get(previous.size() - 1).name(), PAGE_SIZE);
      objects.addAll(page.objects());
    }
    return new ObjectPage(revision, objects.build(), true);
  }
}
