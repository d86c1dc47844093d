package org.trefoilbarrow.state.fleet;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class CatalogTest {
  private static Route route(String name, String hostName, String prefix) {
    return new Route(
        name,
        hostName,
        prefix,
        Route.RequestKind.IDEMPOTENT,
        1000,
        100,
        0,
        ImmutableList.of(new Route.WeightedTarget("s", 90), new Route.WeightedTarget("t", 10)),
        2,
        false,
        0,
        0,
        0);
  }

  private static final Catalog CATALOG =
      new Catalog(
          1,
          ImmutableList.of(
              route("short", "a.example", "/x/"),
              route("long", "a.example", "/x/y/"),
              route("other", "b.example", "/")),
          ImmutableMap.of(),
          ImmutableMap.of(),
          ImmutableMap.of(),
          CallerLimits.INITIAL);

  @DataProvider
  public Object[][] paths() {
    return new Object[][] {
      {"a.example", "/x/1", "short"},
      {"a.example", "/x/y/1", "long"},
      {"a.example", "/z", ""},
      {"b.example", "/x/y/1", "other"},
      {"c.example", "/x/", ""}
    };
  }

  @Test(dataProvider = "paths")
  public void route_returnsLongestPrefixOfHostName(String hostName, String path, String name) {
    assertEquals(CATALOG.route(hostName, path).map(Route::name).orElse(""), name);
  }

  @Test
  public void selectService_followsWeights() {
    Route route = CATALOG.route("a.example", "/x/").orElseThrow();
    int selectedFirst = 0;
    for (int hash = 0; hash < 1000; hash++) {
      selectedFirst += route.selectService(hash).equals("s") ? 1 : 0;
    }
    assertEquals(selectedFirst, 900);
  }
}
