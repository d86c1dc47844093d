package org.trefoilbarrow.coordination.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.PromptPartId;

/** Replays ends of backend servers and successes of requests. */
public final class PartQuarantineTest {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private static final long TICK = 50 * MILLI;
  private static final QuarantineRules RULES = QuarantineRules.DEFAULT;

  private PartQuarantine quarantine;
  private long now;

  @BeforeMethod
  public void createQuarantine() {
    quarantine = new PartQuarantine(RULES);
    now = 0;
  }

  private static ImmutableList<PromptPartId> parts(String... parts) {
    return ImmutableList.copyOf(parts).stream()
        .map(PromptPartId::of)
        .collect(ImmutableList.toImmutableList());
  }

  private static FailureDomainId domainOf(int server) {
    return FailureDomainId.of("domain-" + server % 3);
  }

  private static ServerEnd end(int server, long nanos, String... parts) {
    return new ServerEnd(
        HostId.of("host"),
        BackendServerId.of("server-" + server),
        domainOf(server),
        parts(parts),
        ImmutableMap.of(),
        nanos);
  }

  /** Reports that a server ends now under prompts with the given parts, separated by spaces. */
  private void endServer(int server, String... prompts) {
    for (String prompt : prompts) {
      quarantine.reported(end(server, now, prompt.split(" ")), now);
    }
  }

  private void succeed(String... parts) {
    quarantine.seenSound(parts(parts), now, now);
  }

  private List<QuarantineChange> passTime(long nanos) {
    List<QuarantineChange> changes = new ArrayList<>();
    for (long until = now + nanos; now < until; now += TICK) {
      changes.addAll(quarantine.decide(now));
    }
    return changes;
  }

  private boolean isQuarantined(String part) {
    return quarantine.find(parts(part), now).isPresent();
  }

  @Test
  public void partIsQuarantinedBeforeTheFourthEnd() {
    for (int server = 1; server <= RULES.unknownPartEnds(); server++) {
      assertFalse(isQuarantined("bad"));
      endServer(server, "first bad");
      succeed("first");
      passTime(SECOND);
    }
    assertTrue(isQuarantined("bad"));
    assertFalse(isQuarantined("first"));
    assertEquals(quarantine.count(now), 1);
  }

  @DataProvider
  public Object[][] prompts() {
    return new Object[][] {{"first bad", "first sound"}, {"bad first", "first sound"}};
  }

  @Test(dataProvider = "prompts")
  public void soundPartsOfHarmfulRequestsAreNotQuarantined(String harmful, String bystander) {
    succeed("first", "sound");
    for (int server = 1; server <= RULES.soundPartEnds(); server++) {
      endServer(server, bystander, harmful);
      passTime(SECOND / 2);
    }
    assertTrue(isQuarantined("bad"));
    assertFalse(isQuarantined("first"));
    assertFalse(isQuarantined("sound"));
  }

  @Test
  public void partOfBystanderThatExplainsFewerEndsIsNotQuarantined() {
    endServer(1, "a bad");
    passTime(SECOND);
    endServer(2, "bystander", "b bad");
    endServer(3, "bystander", "c bad");
    endServer(4, "bystander", "d bad");
    passTime(SECOND);
    assertTrue(isQuarantined("bad"));
    assertFalse(isQuarantined("bystander"));
  }

  @Test
  public void successAfterAnEndClearsSuspicion() {
    for (int server = 1; server < 20; server++) {
      endServer(server, "rare");
      passTime(SECOND);
      succeed("rare");
      passTime(SECOND);
    }
    assertFalse(isQuarantined("rare"));
  }

  @Test
  public void soundPartThatBecomesHarmfulIsQuarantined() {
    succeed("was-sound");
    for (int server = 1; server <= RULES.soundPartEnds(); server++) {
      assertFalse(isQuarantined("was-sound"));
      passTime(SECOND);
      endServer(server, "was-sound");
      passTime(SECOND);
    }
    assertTrue(isQuarantined("was-sound"));
  }

  @DataProvider
  public Object[][] serverCounts() {
    return new Object[][] {{3}, {6}, {40}};
  }

  @Test(dataProvider = "serverCounts")
  public void failureDomainWithoutPowerQuarantinesNothing(int servers) {
    succeed("first");
    Random random = new Random(servers);
    for (int server = 0; server < servers; server++) {
      // All servers of one domain; the first part is at each of them, and a rare one at some.
      now += random.nextInt(3) * MILLI;
      String rare = server % 2 == 0 ? "first rare" : "first other" + server;
      endServer(3 * server, rare);
    }
    passTime(5 * SECOND);
    assertEquals(quarantine.count(now), 0);
  }

  @Test
  public void allServersEndedAtOnceQuarantineNoPartThatIsSoundOrAtSomeOnly() {
    succeed("first");
    for (int server = 0; server < 9; server++) {
      endServer(server, "first", server % 2 == 0 ? "first rare" : "first other" + server);
    }
    passTime(5 * SECOND);
    assertEquals(quarantine.count(now), 0);
  }

  @Test
  public void newDispatchingHostLearnsSoundPartsWithTheReports() {
    PartQuarantine next = new PartQuarantine(RULES);
    for (int server = 0; server < 9; server++) {
      next.reported(
          new ServerEnd(
              HostId.of("host"),
              BackendServerId.of("server-" + server),
              domainOf(server),
              parts("first"),
              ImmutableMap.of(PromptPartId.of("first"), -SECOND),
              0),
          SECOND);
    }
    next.decide(2 * SECOND);
    assertEquals(next.count(2 * SECOND), 0);
  }

  @Test
  public void rollingEndsWithSuccessesBetweenQuarantineNothing() {
    Random random = new Random(5);
    for (int server = 0; server < 200; server++) {
      endServer(server % 12, "first part" + random.nextInt(8));
      passTime(300 * MILLI);
      for (int part = 0; part < 8; part++) {
        succeed("first", "part" + part);
      }
      passTime(200 * MILLI);
    }
    assertEquals(quarantine.count(now), 0);
  }

  @Test
  public void flappingServerIsCountedOncePerEnd() {
    endServer(1, "part");
    now += 300 * MILLI;
    endServer(1, "part");
    now += 300 * MILLI;
    endServer(1, "part");
    passTime(SECOND);
    assertFalse(isQuarantined("part"));
  }

  @Test
  public void repeatedReportsOfTheSameEndCountOnce() {
    ServerEnd end = end(1, now, "bad");
    for (int report = 0; report < 10; report++) {
      quarantine.reported(end, now);
      passTime(SECOND);
    }
    assertFalse(isQuarantined("bad"));
  }

  @Test
  public void harmfulPartThatEndsSeveralServersAtOnceIsQuarantined() {
    succeed("first", "sound");
    for (int server = 0; server < 6; server++) {
      now += 2 * MILLI;
      endServer(server, "first bad", "first sound");
      succeed("first");
    }
    passTime(SECOND);
    assertTrue(isQuarantined("bad"));
    assertEquals(quarantine.count(now), 1);
  }

  @Test
  public void twoHarmfulPartsAreBothQuarantined() {
    for (int server = 0; server < 8; server++) {
      endServer(server, server % 2 == 0 ? "first bad-1" : "first bad-2");
      passTime(SECOND / 2);
      succeed("first");
    }
    assertTrue(isQuarantined("bad-1"));
    assertTrue(isQuarantined("bad-2"));
    assertFalse(isQuarantined("first"));
  }

  @Test
  public void partThatWasBlamedWithTheHarmfulOneIsClearedByOneMoreEnd() {
    succeed("first");
    for (int server = 1; server <= RULES.unknownPartEnds(); server++) {
      endServer(server, "first bad session");
      passTime(SECOND);
    }
    assertTrue(isQuarantined("session"));
    endServer(8, "first bad other");
    passTime(SECOND);
    assertTrue(isQuarantined("bad"));
    assertFalse(isQuarantined("session"));
    assertFalse(isQuarantined("other"));
  }

  @Test
  public void endsFromOtherCausesDoNotReplaceAQuarantine() {
    succeed("first");
    for (int server = 1; server <= RULES.unknownPartEnds(); server++) {
      endServer(server, "first bad");
      passTime(SECOND);
    }
    endServer(8, "first unrelated");
    endServer(9, "first");
    passTime(SECOND);
    assertTrue(isQuarantined("bad"));
    assertEquals(quarantine.count(now), 1);
  }

  private void quarantineBad() {
    for (int server = 1; server <= RULES.unknownPartEnds(); server++) {
      endServer(server, "bad");
      passTime(SECOND);
    }
    assertTrue(isQuarantined("bad"));
  }

  private void skipTo(long nanos) {
    now = nanos;
    quarantine.decide(now);
  }

  @Test
  public void oneEndOnProbationRenewsTheQuarantineForTwiceTheTime() {
    quarantineBad();
    skipTo(now + RULES.duration().toNanos());
    assertFalse(isQuarantined("bad"));
    endServer(9, "bad");
    List<QuarantineChange> changes = passTime(SECOND);
    assertEquals(changes.size(), 1);
    assertEquals(changes.get(0).kind(), QuarantineChange.Kind.RENEWED);
    assertEquals(changes.get(0).durationNanos(), 2 * RULES.duration().toNanos());
    assertTrue(isQuarantined("bad"));
  }

  @Test
  public void successOnProbationClearsThePart() {
    quarantineBad();
    skipTo(now + RULES.duration().toNanos());
    succeed("bad");
    passTime(SECOND);
    endServer(9, "bad");
    passTime(SECOND);
    assertFalse(isQuarantined("bad"));
  }

  @Test
  public void liftedPartNeedsNewEnds() {
    quarantineBad();
    quarantine.lift(PromptPartId.of("bad"));
    passTime(SECOND);
    assertFalse(isQuarantined("bad"));
    endServer(8, "bad");
    passTime(SECOND);
    assertFalse(isQuarantined("bad"));
  }

  @Test
  public void adoptedQuarantineHoldsUntilItsEnd() {
    quarantine.adopt(PromptPartId.of("bad"), 10 * SECOND, 4 * SECOND, now);
    assertTrue(isQuarantined("bad"));
    skipTo(4 * SECOND);
    assertFalse(isQuarantined("bad"));
    endServer(1, "bad");
    passTime(SECOND);
    assertTrue(isQuarantined("bad"));
  }

  @Test
  public void manyPartsNeitherGrowMemoryNorEvictQuarantines() {
    quarantineBad();
    for (int server = 0; server < 2000; server++) {
      int number = server;
      String[] prompt =
          IntStream.range(0, 32).mapToObj(part -> "p" + number + "-" + part).toArray(String[]::new);
      quarantine.reported(end(server, now, prompt), now);
      quarantine.seenSound(parts(prompt), now, now);
      passTime(TICK);
    }
    assertTrue(isQuarantined("bad"));
    assertEquals(quarantine.count(now), 1);
    assertTrue(quarantine.endCount() <= RULES.maxEnds());
    assertTrue(quarantine.soundPartCount() <= RULES.maxSoundParts());
  }
}
