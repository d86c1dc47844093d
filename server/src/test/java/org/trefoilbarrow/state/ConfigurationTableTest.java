package org.trefoilbarrow.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.trefoilbarrow.operators.ConfigurationEntity;
import org.trefoilbarrow.operators.ConfigurationJson;
import org.trefoilbarrow.operators.EntityKind;
import org.trefoilbarrow.operators.KeySpec;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.protocol.KeyDigest;

public final class ConfigurationTableTest {
  private static final String DIGEST = "d".repeat(64);

  private ConfigurationTable table;

  @BeforeMethod
  public void createTable() {
    table = new ConfigurationTable();
  }

  private static ObjectChange organisation(long version, double rate) {
    ConfigurationEntity entity = ConfigurationEntity.of("workshop", OrganisationSpec.of(rate, 1));
    return new ObjectChange(
        "organisations/workshop", version, Optional.of(ConfigurationJson.print(entity)));
  }

  private static ObjectChange key(long version, boolean withdrawn) {
    ConfigurationEntity entity =
        ConfigurationEntity.of("counter", new KeySpec("workshop", DIGEST, withdrawn));
    return new ObjectChange("keys/counter", version, Optional.of(ConfigurationJson.print(entity)));
  }

  private double rate() {
    return table
        .spec(EntityKind.ORGANISATION, "workshop", OrganisationSpec.class)
        .map(OrganisationSpec::requestsPerSecond)
        .orElse(0.0);
  }

  @Test
  public void apply_ignoresOlderVersion() {
    table.apply(ImmutableList.of(organisation(7, 70)));
    table.apply(ImmutableList.of(organisation(6, 60)));
    assertEquals(rate(), 70.0);
  }

  @Test
  public void apply_doesNotUndoDeletion() {
    table.apply(ImmutableList.of(organisation(5, 50)));
    table.apply(ImmutableList.of(new ObjectChange("organisations/workshop", 9, Optional.empty())));
    table.apply(ImmutableList.of(organisation(8, 80)));
    assertEquals(rate(), 0.0);
    table.apply(ImmutableList.of(organisation(10, 100)));
    assertEquals(rate(), 100.0);
  }

  @Test
  public void applySnapshot_keepsNewerEntities() {
    table.apply(ImmutableList.of(organisation(20, 20), key(4, false)));
    table.applySnapshot(ImmutableList.of(), 10);
    assertEquals(rate(), 20.0);
    assertTrue(table.validKey(KeyDigest.of(DIGEST)).isEmpty());
  }

  @Test
  public void validKey_followsWithdrawal() {
    table.apply(ImmutableList.of(key(1, false)));
    assertTrue(table.validKey(KeyDigest.of(DIGEST)).isPresent());
    table.apply(ImmutableList.of(key(2, true)));
    table.apply(ImmutableList.of(key(1, false)));
    assertTrue(table.validKey(KeyDigest.of(DIGEST)).isEmpty());
  }

  @Test
  public void apply_keepsNewestVersionInAnyOrder() {
    for (long seed = 1; seed <= 200; seed++) {
      Random random = new Random(seed);
      List<ObjectChange> changes = new ArrayList<>();
      for (long version = 1; version <= 30; version++) {
        boolean deletes = random.nextInt(5) == 0;
        changes.add(
            deletes
                ? new ObjectChange("organisations/workshop", version, Optional.empty())
                : organisation(version, version));
      }
      ObjectChange newest = changes.get(changes.size() - 1);
      Collections.shuffle(changes, random);
      ConfigurationTable shuffled = new ConfigurationTable();
      changes.forEach(change -> shuffled.apply(ImmutableList.of(change)));
      assertEquals(
          shuffled.list(EntityKind.ORGANISATION).stream().map(VersionedEntity::version).toList(),
          newest.value().isPresent() ? ImmutableList.of(30L) : ImmutableList.of(),
          "seed " + seed);
    }
  }
}
