package org.trefoilbarrow.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Iterator;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class CollectionReaderTest {
  private static ObjectPage page(boolean complete, String... names) {
    return new ObjectPage(
        7,
        ImmutableList.copyOf(names).stream()
            .map(name -> new VersionedObject(name, 1, "{}"))
            .toList(),
        complete);
  }

  @DataProvider
  public Object[][] pages() {
    return new Object[][] {
      {ImmutableList.of(page(true)), 0},
      {ImmutableList.of(page(true, "a")), 1},
      {ImmutableList.of(page(false, "a"), page(true)), 1},
      {ImmutableList.of(page(false, "a", "b"), page(false, "c"), page(true, "d")), 4},
    };
  }

  @Test(dataProvider = "pages")
  public void readAll_joinsThePages(ImmutableList<ObjectPage> pages, int objects) {
    ObjectPage all =
        CollectionReader.readAll(new PagedPlatform(pages.iterator()), ObjectKind.HOST, "");
    assertEquals(all.objects().size(), objects);
    assertEquals(all.revision(), 7);
  }

  @DataProvider
  public Object[][] pagesWithoutContinuation() {
    return new Object[][] {
      {ImmutableList.of(page(false))}, {ImmutableList.of(page(false, "a"), page(false))},
    };
  }

  /** The name after which to continue is not known. */
  @Test(dataProvider = "pagesWithoutContinuation")
  public void readAll_failsAsACallDoesIfAnEmptyPageIsNotTheLast(ImmutableList<ObjectPage> pages) {
    expectThrows(
        PlatformException.class,
        () -> CollectionReader.readAll(new PagedPlatform(pages.iterator()), ObjectKind.HOST, ""));
  }

  /** Returns the given pages one after the other. */
  private record PagedPlatform(Iterator<ObjectPage> pages) implements Platform {
    @Override
    public Optional<VersionedObject> read(ObjectKind kind, String name) {
      throw new UnsupportedOperationException("only pages are read");
    }

    @Override
    public Optional<Long> write(ObjectKind kind, String name, long expectedVersion, String value) {
      throw new UnsupportedOperationException("only pages are read");
    }

    @Override
    public Optional<Long> delete(ObjectKind kind, String name, long expectedVersion) {
      throw new UnsupportedOperationException("only pages are read");
    }

    @Override
    public ObjectPage list(ObjectKind kind, String prefix, String after, int limit) {
      return pages.next();
    }

    @Override
    public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
      throw new UnsupportedOperationException("only pages are read");
    }
  }
}
